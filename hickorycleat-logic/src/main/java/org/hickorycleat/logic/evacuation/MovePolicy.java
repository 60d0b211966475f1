package org.hickorycleat.logic.evacuation;

import org.hickorycleat.model.job.StepSpecification;

/**
 * Decides which running task of an evacuated zone may be stopped now, to continue elsewhere from
 * its checkpoint.
 *
 * <p>Load pattern: a zone with a quarter or a third of the workers is evacuated while the others
 * are almost full. Long-running tasks move a few at a time, so that the workers elsewhere can be
 * measured with their new neighbours before more arrive. Other tasks end where they are, unless
 * that would take long.
 */
public final class MovePolicy {
    /**
     * Time within which a task may end in the zone, in milliseconds; the time in which the platform
     * expects an evacuation to be in effect.
     */
    private static final long END_SOON_MS = 5_000;

    /** Number of workers elsewhere for each move in progress. */
    private static final int WORKERS_PER_MOVE = 8;

    private MovePolicy() {}

    /** Returns the number of moves that may be in progress at once. */
    public static int maximumMoves(int workersElsewhere) {
        return workersElsewhere == 0 ? 0 : Math.max(1, workersElsewhere / WORKERS_PER_MOVE);
    }

    /**
     * Returns whether a run is one to move at all.
     *
     * @param remainingMs expected time until its end, in milliseconds; negative if not known
     */
    public static boolean isWorthMoving(StepSpecification step, long remainingMs) {
        if (step.gang()) {
            return false;
        }
        return step.longRunning() || (step.checkpointable() && remainingMs > END_SOON_MS);
    }

    /**
     * Returns whether one more task of a step may be made unavailable.
     *
     * @param moving number of tasks of the step that are being moved
     * @param othersUnavailable number of other tasks of the step that are not certainly running
     */
    public static boolean isWithinBudget(
            StepSpecification step, int moving, int othersUnavailable) {
        int maximum = step.maximumUnavailable();
        return maximum < 0 ? moving == 0 : othersUnavailable < maximum;
    }
}
