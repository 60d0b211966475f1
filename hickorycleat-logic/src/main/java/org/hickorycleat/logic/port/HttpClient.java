package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;

/** Makes calls over HTTP. */
@FunctionalInterface
public interface HttpClient {
    /** Makes one call; fails with {@link HttpCallException}. */
    Single<HttpResponse> call(HttpCall call);
}
