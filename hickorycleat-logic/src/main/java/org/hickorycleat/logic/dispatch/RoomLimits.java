package org.hickorycleat.logic.dispatch;

import java.util.Collection;
import org.hickorycleat.model.job.StepSpecification;

/**
 * Largest free and idle processors of any worker that may take work, at the start of a placement
 * round.
 *
 * <p>Load pattern: an overload in which most ready steps fit nowhere. Room only shrinks during a
 * round, so such a step needs no look at each worker.
 *
 * @param freeProcessorsMilli most unreserved processors of one worker, in thousandths
 * @param idleProcessorsMilli most idle processors of one worker, in thousandths
 */
record RoomLimits(long freeProcessorsMilli, long idleProcessorsMilli) {
    static RoomLimits of(Collection<TrackedWorker> workers) {
        long free = Long.MIN_VALUE;
        long idle = Long.MIN_VALUE;
        for (TrackedWorker worker : workers) {
            if (worker.mayTakeWork()) {
                free = Math.max(free, worker.freeProcessorsMilli());
                idle = Math.max(idle, worker.idleProcessorsMilli());
            }
        }
        return new RoomLimits(free, idle);
    }

    /** Returns whether some worker may have enough processors for a task. */
    boolean mayFit(StepSpecification step) {
        return step.reservation().processorsMilli() <= freeProcessorsMilli
                && (!step.bestEffort()
                        || WorkerSelector.hasIdleProcessors(step, idleProcessorsMilli));
    }
}
