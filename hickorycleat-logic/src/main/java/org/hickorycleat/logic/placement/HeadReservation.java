package org.hickorycleat.logic.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.task.Resources;
import org.jspecify.annotations.Nullable;

/** The worker and time at which the head of the queue can start at the latest estimate. */
final class HeadReservation {
    /** Workers that are read for a reservation; bounds the time of a call at full size. */
    private static final int SAMPLE = 256;

    private final int mWorker;
    private final long mStartMs;
    private Resources mSpare;

    private HeadReservation(int worker, long startMs, Resources spare) {
        mWorker = worker;
        mStartMs = startMs;
        mSpare = spare;
    }

    /** Finds the earliest start of a size, or nothing if no worker will have the room. */
    static @Nullable HeadReservation find(
            PlacementRound round, RunningEnds ends, Resources size, WorkerChoice choice) {
        WorkerTable table = round.table();
        HeadReservation best = null;
        int step = Math.max(1, table.size() / SAMPLE);
        for (int i = 0; i < table.size(); i += step) {
            if (!table.usable(i)
                    || !size.fitsInto(table.worker(i).capacity())
                    || !choice.allows(i)) {
                continue;
            }
            HeadReservation found = onWorker(round, ends, size, i);
            if (found != null && (best == null || found.mStartMs < best.mStartMs)) {
                best = found;
            }
        }
        return best;
    }

    /** Choice of workers that may be reserved. */
    @FunctionalInterface
    interface WorkerChoice {
        boolean allows(int worker);
    }

    private record End(long endMs, Resources size) {}

    private static @Nullable HeadReservation onWorker(
            PlacementRound round, RunningEnds ends, Resources size, int worker) {
        List<End> running = new ArrayList<>();
        WorkerView view = round.table().worker(worker);
        for (PlacedTask placed : round.view().placedOn(view.worker())) {
            long endMs = ends.endMs(placed, round.nowMs());
            running.add(new End(endMs, placed.specification().resources()));
        }
        running.sort(Comparator.comparingLong(End::endMs));
        Resources free = round.table().free(worker);
        for (End end : running) {
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

    /** Tells whether a task on the reserved worker would leave the head its room and time. */
    boolean admits(Resources size, long endMs) {
        return endMs <= mStartMs || size.fitsInto(mSpare);
    }

    /** Records a task started on the reserved worker. */
    void started(Resources size, long endMs) {
        if (endMs > mStartMs) {
            mSpare = mSpare.minus(size);
        }
    }
}
