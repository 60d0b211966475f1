package org.hickorycleat.logic.placement;

import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.model.task.Resources;

/** Room that is coming free on workers and is already meant for a task. */
final class RoomClaims {
    private final WorkerTable mTable;
    private final Map<Integer, Resources> mClaimed = new HashMap<>();

    RoomClaims(WorkerTable table) {
        mTable = table;
    }

    /** Keeps room of a worker for a task and takes the free part of it from other tasks. */
    void claim(int worker, Resources size) {
        Resources free = mTable.free(worker);
        mTable.take(worker, size);
        Resources later = clampedMinus(size, free);
        mClaimed.merge(worker, later, Resources::plus);
    }

    /** Returns what is left of free and coming room after the claims. */
    Resources remaining(int worker, Resources room) {
        Resources claimed = mClaimed.get(worker);
        return claimed == null ? room : clampedMinus(room, claimed);
    }

    private static Resources clampedMinus(Resources from, Resources part) {
        return new Resources(
                Math.max(0, from.processorsMilli() - part.processorsMilli()),
                Math.max(0, from.memoryMebibytes() - part.memoryMebibytes()),
                Math.max(0, from.accelerators() - part.accelerators()));
    }
}
