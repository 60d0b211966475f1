package org.hickorycleat.logic.ownership;

import java.util.Optional;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.WorkerId;

/** An attempt that has been started and is not known to have ended. */
public record AttemptRecord(
        AttemptNumber number,
        WorkerId worker,
        Incarnation workerIncarnation,
        long startedMs,
        int throttlePermille,
        Optional<StopCause> stop) {
    AttemptRecord withStop(StopCause cause) {
        return new AttemptRecord(
                number, worker, workerIncarnation, startedMs, throttlePermille, Optional.of(cause));
    }

    AttemptRecord withThrottle(int permille) {
        return new AttemptRecord(number, worker, workerIncarnation, startedMs, permille, stop);
    }
}
