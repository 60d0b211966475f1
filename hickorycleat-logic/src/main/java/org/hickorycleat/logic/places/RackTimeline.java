package org.hickorycleat.logic.places;

import java.util.List;
import org.hickorycleat.model.task.Resources;
import org.jspecify.annotations.Nullable;

/** Expected places of the workers of one rack that may take a kind of task. */
public final class RackTimeline {
    private final List<WorkerTimeline> mWorkers;

    /** Creates the timeline of a rack; an empty list stands for a rack that takes no work. */
    public RackTimeline(List<WorkerTimeline> workers) {
        mWorkers = workers;
    }

    /** Returns whether some worker has the resources now. */
    public boolean fitsNow(Resources need) {
        for (WorkerTimeline worker : mWorkers) {
            if (worker.fitsNow(need)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns when the next place is expected behind all claims, in milliseconds; {@link
     * WorkerTimeline#NEVER} if none will be.
     */
    public long earliestStartMs(Resources need) {
        long earliestMs = WorkerTimeline.NEVER;
        for (WorkerTimeline worker : mWorkers) {
            earliestMs = Math.min(earliestMs, worker.earliestStartMs(need));
        }
        return earliestMs;
    }

    /**
     * Claims the next place for a waiting task.
     *
     * @return its expected start, in milliseconds; {@link WorkerTimeline#NEVER} if there is none
     */
    public long claim(Resources need, double durationMs) {
        long earliestMs = WorkerTimeline.NEVER;
        @Nullable WorkerTimeline earliest = null;
        for (WorkerTimeline worker : mWorkers) {
            long startMs = worker.earliestStartMs(need);
            if (startMs < earliestMs) {
                earliestMs = startMs;
                earliest = worker;
            }
        }
        if (earliest != null) {
            earliest.claim(need, earliestMs, durationMs);
        }
        return earliestMs;
    }

    /**
     * Returns when the last of a number of tasks is expected to start, in milliseconds, without a
     * claim; {@link WorkerTimeline#NEVER} if not all of them get a place.
     */
    public long earliestStartMs(Resources need, int count, double durationMs) {
        return copy().claimAll(need, count, durationMs);
    }

    /**
     * Claims the next places for a number of tasks.
     *
     * @return expected start of the last one, in milliseconds; {@link WorkerTimeline#NEVER} if not
     *     all of them get a place
     */
    public long claimAll(Resources need, int count, double durationMs) {
        long startMs = 0;
        for (int i = 0; i < count && startMs < WorkerTimeline.NEVER; i++) {
            startMs = Math.max(startMs, claim(need, durationMs));
        }
        return startMs;
    }

    private RackTimeline copy() {
        return new RackTimeline(mWorkers.stream().map(WorkerTimeline::copy).toList());
    }
}
