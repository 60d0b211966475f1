package org.hickorycleat.logic.port;

import java.util.Map;

/** A complete HTTP/1.1 response. */
@SuppressWarnings("ArrayRecordComponent") // Not copied, because the array is never modified.
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /** Copies the headers. */
    public HttpResponse {
        headers = Map.copyOf(headers);
    }

    /** Returns a response without additional headers. */
    public static HttpResponse of(int status, byte[] body) {
        return new HttpResponse(status, Map.of(), body);
    }

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
