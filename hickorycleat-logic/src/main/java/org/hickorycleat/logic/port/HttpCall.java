package org.hickorycleat.logic.port;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * An outgoing HTTP/1.1 request.
 *
 * @param target path and query
 * @param timeoutMs time after which the call fails, in milliseconds
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
