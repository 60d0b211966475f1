package org.hickorycleat.logic.placement;

import org.hickorycleat.logic.batch.Gap;

/** Measures of how full a worker is. */
final class Fit {
    private Fit() {}

    static double freeShare(WorkerTable table, int worker) {
        return gap(table, worker, 0, Long.MAX_VALUE).freeShare();
    }

    static Gap gap(WorkerTable table, int worker, long openMs, long endMs) {
        return new Gap(worker, openMs, endMs, table.worker(worker).capacity(), table.free(worker));
    }
}
