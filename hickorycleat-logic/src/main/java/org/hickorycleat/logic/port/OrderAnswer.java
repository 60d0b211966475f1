package org.hickorycleat.logic.port;

import java.util.Optional;
import org.hickorycleat.model.job.RejectionReason;

/**
 * Answer of a worker to an order.
 *
 * @param carriedOut whether the order is in force
 * @param fenced whether the worker has seen a higher fencing token
 * @param reason why it was rejected
 */
public record OrderAnswer(boolean carriedOut, boolean fenced, Optional<RejectionReason> reason) {
    /** The order is in force. */
    public static final OrderAnswer DONE = new OrderAnswer(true, false, Optional.empty());

    /** A higher fencing token has been seen. */
    public static final OrderAnswer FENCED = new OrderAnswer(false, true, Optional.empty());

    /** Returns a rejection. */
    public static OrderAnswer rejected(RejectionReason reason) {
        return new OrderAnswer(false, false, Optional.of(reason));
    }
}
