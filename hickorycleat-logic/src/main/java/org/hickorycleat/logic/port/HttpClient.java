package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;

/** Sends HTTP requests. */
@FunctionalInterface
public interface HttpClient {
    /** Sends one request; fails with {@link HttpCallException}. */
    Single<HttpResponse> call(HttpCall call);
}
