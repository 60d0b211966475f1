package org.hickorycleat.logic.port;

import java.util.Map;

/**
 * A complete HTTP/1.1 request that was received.
 *
 * @param query query string without the question mark; empty if there is none
 * @param headers values by lower-case name
 */
@SuppressWarnings("ArrayRecordComponent") // Not copied, because the array is never modified.
public record HttpRequest(
        String method, String path, String query, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public HttpRequest {
        headers = Map.copyOf(headers);
    }
}
