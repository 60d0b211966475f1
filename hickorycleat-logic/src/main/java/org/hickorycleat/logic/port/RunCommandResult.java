package org.hickorycleat.logic.port;

import java.util.Optional;
import org.hickorycleat.model.job.RejectionReason;

/**
 * Answer of a worker to an order.
 *
 * @param applied whether the order is in force
 * @param fenced whether the worker has seen a higher fencing token
 * @param reason why it was rejected
 */
public record RunCommandResult(boolean applied, boolean fenced, Optional<RejectionReason> reason) {
    /** The order is in force. */
    public static final RunCommandResult DONE = new RunCommandResult(true, false, Optional.empty());

    /** A higher fencing token has been seen. */
    public static final RunCommandResult FENCED =
            new RunCommandResult(false, true, Optional.empty());

    /** Returns a rejection. */
    public static RunCommandResult rejected(RejectionReason reason) {
        return new RunCommandResult(false, false, Optional.of(reason));
    }
}
