package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;

/** Handles HTTP requests. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles one request; an error closes the connection without a response. */
    Single<HttpResponse> handle(HttpRequest request);
}
