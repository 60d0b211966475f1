package org.hickorycleat.logic.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/** Free resources of the workers during one call, in arrays so that a search is one fast scan. */
final class WorkerTable {
    private final WorkerView[] mWorkers;
    private final long[] mProcessors;
    private final long[] mMemory;
    private final long[] mAccelerators;
    private final Map<WorkerId, Integer> mIndexes;
    private final List<Resources> mWithoutRoom = new ArrayList<>();

    WorkerTable(Collection<WorkerView> workers) {
        mWorkers = workers.toArray(new WorkerView[0]);
        mProcessors = new long[mWorkers.length];
        mMemory = new long[mWorkers.length];
        mAccelerators = new long[mWorkers.length];
        mIndexes = new HashMap<>(mWorkers.length * 2);
        for (int i = 0; i < mWorkers.length; i++) {
            mIndexes.put(mWorkers[i].worker(), i);
            load(i, mWorkers[i]);
        }
    }

    /** A worker that is not available, or holds more than its capacity, has nothing free. */
    private void load(int i, WorkerView worker) {
        boolean usable = worker.available() && worker.reserved().fitsInto(worker.capacity());
        mProcessors[i] =
                usable
                        ? worker.capacity().processorsMilli() - worker.reserved().processorsMilli()
                        : -1;
        mMemory[i] = worker.capacity().memoryMebibytes() - worker.reserved().memoryMebibytes();
        mAccelerators[i] = worker.capacity().accelerators() - worker.reserved().accelerators();
    }

    int size() {
        return mWorkers.length;
    }

    WorkerView worker(int i) {
        return mWorkers[i];
    }

    /** Returns the position of a worker, or -1. */
    int indexOf(WorkerId worker) {
        return mIndexes.getOrDefault(worker, -1);
    }

    boolean usable(int i) {
        return mProcessors[i] >= 0;
    }

    boolean fits(int i, Resources size) {
        return size.processorsMilli() <= mProcessors[i]
                && size.memoryMebibytes() <= mMemory[i]
                && size.accelerators() <= mAccelerators[i];
    }

    /** Tells whether any worker has room; remembers sizes without room, as room only shrinks. */
    boolean anyFits(Resources size) {
        for (Resources failed : mWithoutRoom) {
            if (failed.fitsInto(size)) {
                return false;
            }
        }
        for (int i = 0; i < mWorkers.length; i++) {
            if (fits(i, size)) {
                return true;
            }
        }
        mWithoutRoom.removeIf(size::fitsInto);
        mWithoutRoom.add(size);
        return false;
    }

    Resources free(int i) {
        return new Resources(
                Math.max(0, mProcessors[i]),
                Math.max(0, mMemory[i]),
                Math.max(0, mAccelerators[i]));
    }

    /** Takes free room; for a claim on room that is coming free, no more than there is. */
    void take(int i, Resources size) {
        mProcessors[i] = Math.max(0, mProcessors[i] - size.processorsMilli());
        mMemory[i] = Math.max(0, mMemory[i] - size.memoryMebibytes());
        mAccelerators[i] = Math.max(0, mAccelerators[i] - size.accelerators());
    }

    /** Tells whether any worker could hold the size if it were empty. */
    boolean everFits(Resources size) {
        for (WorkerView worker : mWorkers) {
            if (size.fitsInto(worker.capacity())) {
                return true;
            }
        }
        return false;
    }
}
