package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleObserver;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.function.Consumer;

/** Subscribes callbacks to calls that always terminate, because each has a time limit. */
public final class SingleCallbacks {
    private SingleCallbacks() {}

    /** Starts a call and passes its result or error to a callback. */
    public static <T> void subscribe(
            Single<T> call, Consumer<? super T> onSuccess, Consumer<Throwable> onError) {
        call.subscribe(
                new SingleObserver<T>() {
                    @Override
                    public void onSubscribe(Disposable disposable) {
                        // The call is never cancelled.
                    }

                    @Override
                    public void onSuccess(T value) {
                        onSuccess.accept(value);
                    }

                    @Override
                    public void onError(Throwable error) {
                        onError.accept(error);
                    }
                });
    }
}
