package org.hickorycleat.logic.port;

import java.util.Map;

/**
 * A whole request that was received over HTTP/1.1.
 *
 * @param query what follows the question mark; empty if nothing does
 * @param headers values by name in lower case
 */
@SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
public record HttpRequest(
        String method, String path, String query, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public HttpRequest {
        headers = Map.copyOf(headers);
    }
}
