package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;

/** Answers requests over HTTP. */
@FunctionalInterface
public interface HttpHandler {
    /** Answers one request; a failure breaks the connection off without an answer. */
    Single<HttpResponse> handle(HttpRequest request);
}
