package org.hickorycleat.logic.port;

import java.util.Optional;
import org.hickorycleat.model.job.RejectionReason;

/**
 * Response of a worker to a command about one run.
 *
 * @param applied whether the command was applied
 * @param fenced whether the worker has seen a higher fencing token
 * @param reason reason of a rejection; empty otherwise
 */
public record RunCommandResult(boolean applied, boolean fenced, Optional<RejectionReason> reason) {
    /** The command was applied. */
    public static final RunCommandResult DONE = new RunCommandResult(true, false, Optional.empty());

    /** The worker has seen a higher fencing token. */
    public static final RunCommandResult FENCED =
            new RunCommandResult(false, true, Optional.empty());

    /** Returns a rejection. */
    public static RunCommandResult rejected(RejectionReason reason) {
        return new RunCommandResult(false, false, Optional.of(reason));
    }
}
