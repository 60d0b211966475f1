package org.hickorycleat.logic.placement;

import org.hickorycleat.logic.batch.Gap;

/** Computes the free resources of a worker as a {@link Gap} and as a share. */
final class FreeResources {
    private FreeResources() {}

    static double freeShare(WorkerTable table, int worker) {
        return gap(table, worker, 0, Long.MAX_VALUE).freeShare();
    }

    static Gap gap(WorkerTable table, int worker, long startMs, long endMs) {
        return new Gap(worker, startMs, endMs, table.worker(worker).capacity(), table.free(worker));
    }
}
