package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;
import org.hickorycleat.model.message.Invoke;

/** Exchanges HTTP requests and responses with the local target of the agent. */
@FunctionalInterface
public interface TargetClient {
    /**
     * Sends the request to the target; disposing cancels the exchange.
     *
     * <p>Fails with {@link TargetNotReachedException} when the request provably did not reach the
     * target, and with any other exception when that is not known.
     */
    Single<TargetResponse> exchange(Invoke invoke);
}
