package org.hickorycleat.logic.routing;

import java.util.Optional;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;

/** Room for one request at a target. */
public interface TargetReservation {
    /** Returns the target. */
    TargetAddress target();

    /**
     * Frees the room and records how the attempt went; only the first call counts.
     *
     * @param load load signal of the answer; empty when no answer came
     */
    void release(ResultCode code, Optional<LoadSignal> load, long latencyMicros);
}
