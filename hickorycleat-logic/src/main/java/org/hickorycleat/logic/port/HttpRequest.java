package org.hickorycleat.logic.port;

import java.util.Map;

/**
 * A whole request that was received over HTTP/1.1.
 *
 * @param headers values by name in lower case
 */
@SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
public record HttpRequest(String method, String path, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public HttpRequest {
        headers = Map.copyOf(headers);
    }
}
