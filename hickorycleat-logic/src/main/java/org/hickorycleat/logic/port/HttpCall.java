package org.hickorycleat.logic.port;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.OptionalInt;

/**
 * An outgoing HTTP/1.1 request.
 *
 * @param target path and query
 * @param timeoutMs time without any received byte after which the call fails, in milliseconds; it
 *     counts from the start of the call, including the connection, until the first byte, then from
 *     each byte to the next, so that a large response may take longer as long as it keeps arriving
 * @param repeatAfterMs time without any received byte after which the request is sent once more, on
 *     a new connection, if its connection had been used before, in milliseconds; empty for a
 *     request that must not reach its server twice
 */
@SuppressWarnings("ArrayRecordComponent") // Not copied, because the array is never modified.
public record HttpCall(
        InetSocketAddress address,
        String method,
        String target,
        Map<String, String> headers,
        byte[] body,
        int timeoutMs,
        OptionalInt repeatAfterMs) {
    /** Creates a request that is sent once. */
    public HttpCall(
            InetSocketAddress address,
            String method,
            String target,
            Map<String, String> headers,
            byte[] body,
            int timeoutMs) {
        this(address, method, target, headers, body, timeoutMs, OptionalInt.empty());
    }

    /** Copies the headers. */
    public HttpCall {
        headers = Map.copyOf(headers);
    }
}
