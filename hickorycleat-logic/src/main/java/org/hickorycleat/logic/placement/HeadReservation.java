package org.hickorycleat.logic.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.task.Resources;
import org.jspecify.annotations.Nullable;

/** The worker reserved for the head of the queue and the estimated time at which it can start. */
final class HeadReservation {
    /**
     * Approximate number of workers searched for a reservation; bounds the time of a call on a
     * large fleet.
     */
    private static final int SAMPLED_WORKERS = 256;

    private final int mWorker;
    private final long mStartMs;
    private Resources mFreeAfterStart;

    private HeadReservation(int worker, long startMs, Resources freeAfterStart) {
        mWorker = worker;
        mStartMs = startMs;
        mFreeAfterStart = freeAfterStart;
    }

    /**
     * Finds the earliest start of a task of this size; null if no searched worker will have the
     * resources.
     */
    static @Nullable HeadReservation find(
            PlacementRound round,
            CompletionTimes completionTimes,
            Resources size,
            WorkerFilter filter) {
        WorkerTable table = round.table();
        HeadReservation best = null;
        int step = Math.max(1, table.size() / SAMPLED_WORKERS);
        for (int i = 0; i < table.size(); i += step) {
            if (!table.isUsable(i)
                    || !size.fitsInto(table.worker(i).capacity())
                    || !filter.allows(i)) {
                continue;
            }
            HeadReservation found = findOnWorker(round, completionTimes, size, i);
            if (found != null && (best == null || found.mStartMs < best.mStartMs)) {
                best = found;
            }
        }
        return best;
    }

    /** Selects the workers that may be reserved. */
    @FunctionalInterface
    interface WorkerFilter {
        boolean allows(int worker);
    }

    private record ExpectedEnd(long endMs, Resources size) {}

    private static @Nullable HeadReservation findOnWorker(
            PlacementRound round, CompletionTimes completionTimes, Resources size, int worker) {
        List<ExpectedEnd> running = new ArrayList<>();
        WorkerView view = round.table().worker(worker);
        for (PlacedTask placed : round.view().placedOn(view.worker())) {
            long endMs = completionTimes.expectedEndMs(placed, round.nowMs());
            running.add(new ExpectedEnd(endMs, placed.specification().resources()));
        }
        running.sort(Comparator.comparingLong(ExpectedEnd::endMs));
        Resources free = round.table().free(worker);
        for (ExpectedEnd end : running) {
            if (end.endMs == Long.MAX_VALUE) {
                return null;
            }
            free = free.plus(end.size);
            if (size.fitsInto(free)) {
                return new HeadReservation(worker, end.endMs, free.minus(size));
            }
        }
        return null;
    }

    int worker() {
        return mWorker;
    }

    long startMs() {
        return mStartMs;
    }

    /** Returns whether a task on the reserved worker would not delay the start of the head. */
    boolean admits(Resources size, long endMs) {
        return endMs <= mStartMs || size.fitsInto(mFreeAfterStart);
    }

    /**
     * Records a task started on the reserved worker; one that outlasts the start of the head uses
     * resources that the head leaves free.
     */
    void recordStart(Resources size, long endMs) {
        if (endMs > mStartMs) {
            mFreeAfterStart = mFreeAfterStart.minus(size);
        }
    }
}
