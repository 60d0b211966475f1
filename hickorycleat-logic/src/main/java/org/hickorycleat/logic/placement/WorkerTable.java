package org.hickorycleat.logic.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/** Free resources of the workers during one call, in arrays to make a search one fast scan. */
final class WorkerTable {
    private final WorkerView[] mWorkers;
    private final long[] mFreeProcessorsMilli;
    private final long[] mFreeMemoryMebibytes;
    private final long[] mFreeAccelerators;
    private final Map<WorkerId, Integer> mIndexes;
    private final List<Resources> mSizesWithoutWorker = new ArrayList<>();

    WorkerTable(Collection<WorkerView> workers) {
        mWorkers = workers.toArray(new WorkerView[0]);
        mFreeProcessorsMilli = new long[mWorkers.length];
        mFreeMemoryMebibytes = new long[mWorkers.length];
        mFreeAccelerators = new long[mWorkers.length];
        mIndexes = new HashMap<>(mWorkers.length * 2);
        for (int i = 0; i < mWorkers.length; i++) {
            mIndexes.put(mWorkers[i].worker(), i);
            load(i, mWorkers[i]);
        }
    }

    /** Loads a worker; one that is unavailable or overcommitted is marked as unusable. */
    private void load(int i, WorkerView worker) {
        boolean usable = worker.available() && worker.reserved().fitsInto(worker.capacity());
        mFreeProcessorsMilli[i] =
                usable
                        ? worker.capacity().processorsMilli() - worker.reserved().processorsMilli()
                        : -1;
        mFreeMemoryMebibytes[i] =
                worker.capacity().memoryMebibytes() - worker.reserved().memoryMebibytes();
        mFreeAccelerators[i] = worker.capacity().accelerators() - worker.reserved().accelerators();
    }

    int size() {
        return mWorkers.length;
    }

    WorkerView worker(int i) {
        return mWorkers[i];
    }

    /** Returns the index of a worker, or -1 if the table does not have it. */
    int indexOf(WorkerId worker) {
        return mIndexes.getOrDefault(worker, -1);
    }

    boolean isUsable(int i) {
        return mFreeProcessorsMilli[i] >= 0;
    }

    boolean fits(int i, Resources size) {
        return size.processorsMilli() <= mFreeProcessorsMilli[i]
                && size.memoryMebibytes() <= mFreeMemoryMebibytes[i]
                && size.accelerators() <= mFreeAccelerators[i];
    }

    /**
     * Returns whether the size fits on any worker; caches failures, since free resources never grow
     * during a call.
     */
    boolean fitsAnyWorker(Resources size) {
        for (Resources failed : mSizesWithoutWorker) {
            if (failed.fitsInto(size)) {
                return false;
            }
        }
        for (int i = 0; i < mWorkers.length; i++) {
            if (fits(i, size)) {
                return true;
            }
        }
        mSizesWithoutWorker.removeIf(size::fitsInto);
        mSizesWithoutWorker.add(size);
        return false;
    }

    Resources free(int i) {
        return new Resources(
                Math.max(0, mFreeProcessorsMilli[i]),
                Math.max(0, mFreeMemoryMebibytes[i]),
                Math.max(0, mFreeAccelerators[i]));
    }

    /** Subtracts from the free resources, down to 0: a claim may exceed what is free now. */
    void take(int i, Resources size) {
        mFreeProcessorsMilli[i] = Math.max(0, mFreeProcessorsMilli[i] - size.processorsMilli());
        mFreeMemoryMebibytes[i] = Math.max(0, mFreeMemoryMebibytes[i] - size.memoryMebibytes());
        mFreeAccelerators[i] = Math.max(0, mFreeAccelerators[i] - size.accelerators());
    }

    /** Returns whether the size fits into the capacity of any worker. */
    boolean fitsAnyCapacity(Resources size) {
        for (WorkerView worker : mWorkers) {
            if (size.fitsInto(worker.capacity())) {
                return true;
            }
        }
        return false;
    }
}
