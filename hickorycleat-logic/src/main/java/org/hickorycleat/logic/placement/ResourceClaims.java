package org.hickorycleat.logic.placement;

import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.model.task.Resources;

/** Resources of workers that are about to become free and are claimed for a task. */
final class ResourceClaims {
    private final WorkerTable mTable;
    private final Map<Integer, Resources> mClaimed = new HashMap<>();

    ResourceClaims(WorkerTable table) {
        mTable = table;
    }

    /** Claims resources of a worker; the part that is free now is taken from the worker table. */
    void claim(int worker, Resources size) {
        Resources free = mTable.free(worker);
        mTable.take(worker, size);
        Resources later = clampedMinus(size, free);
        mClaimed.merge(worker, later, Resources::plus);
    }

    /** Returns what the claims on a worker leave of its free and expected resources. */
    Resources remaining(int worker, Resources resources) {
        Resources claimed = mClaimed.get(worker);
        return claimed == null ? resources : clampedMinus(resources, claimed);
    }

    private static Resources clampedMinus(Resources from, Resources part) {
        return new Resources(
                Math.max(0, from.processorsMilli() - part.processorsMilli()),
                Math.max(0, from.memoryMebibytes() - part.memoryMebibytes()),
                Math.max(0, from.accelerators() - part.accelerators()));
    }
}
