package org.hickorycleat.logic.port;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * An outgoing HTTP/1.1 request.
 *
 * @param target path and query
 * @param timeoutMs time without any received byte after which the call fails, in milliseconds; it
 *     counts from the start of the call, including the connection, until the first byte, then from
 *     each byte to the next, so that a large response may take longer as long as it keeps arriving
 */
@SuppressWarnings("ArrayRecordComponent") // Not copied, because the array is never modified.
public record HttpCall(
        InetSocketAddress address,
        String method,
        String target,
        Map<String, String> headers,
        byte[] body,
        int timeoutMs) {
    /** Copies the headers. */
    public HttpCall {
        headers = Map.copyOf(headers);
    }
}
