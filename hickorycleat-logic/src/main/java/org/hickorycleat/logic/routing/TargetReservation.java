package org.hickorycleat.logic.routing;

import java.util.Optional;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;

/** Capacity reserved for one request at a target. */
public interface TargetReservation {
    /** Returns the target. */
    TargetAddress target();

    /**
     * Releases the capacity and records the result of the attempt; further calls have no effect.
     *
     * @param load load signal of the response; empty if there was no response
     * @param latencyMicros time from start to end of the attempt in microseconds
     */
    void release(ResultCode code, Optional<LoadSignal> load, long latencyMicros);
}
