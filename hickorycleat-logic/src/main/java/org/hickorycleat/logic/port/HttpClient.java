package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;

/** Sends HTTP requests. */
public interface HttpClient {
    /** Sends one request once; fails with {@link HttpCallException}. */
    Single<HttpResponse> call(HttpCall call);

    /**
     * Sends one request, and once more on a new connection if its connection had been used before
     * and stays silent; fails with {@link HttpCallException}.
     *
     * @param repeatAfterMs time without any received byte after which the request is sent once
     *     more, in milliseconds
     */
    Single<RepeatableResponse> callRepeatably(HttpCall call, int repeatAfterMs);
}
