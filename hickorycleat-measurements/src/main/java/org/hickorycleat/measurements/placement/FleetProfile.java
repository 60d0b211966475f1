package org.hickorycleat.measurements.placement;

import java.util.ArrayList;
import java.util.List;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.task.Resources;

/** Profiles of the reference fleets in section 1.1 of the design page. */
enum FleetProfile {
    GRAANVRACHT(4, 16_000, 60_000, 4),
    TOKACHI(3, 32_000, 125_000, 5);

    static final int WORKERS = 11;
    private static final int WORKERS_PER_RACK = 3;

    private final int mZones;
    private final int mBatchSizes;
    private final long mProcessorsMilli;
    private final long mMemoryMebibytes;

    FleetProfile(int zones, long processorsMilli, long memoryMebibytes, int batchSizes) {
        mBatchSizes = batchSizes;
        mZones = zones;
        mProcessorsMilli = processorsMilli;
        mMemoryMebibytes = memoryMebibytes;
    }

    /** Returns the number of batch task sizes, which are 1, 2, 4 cores and so on. */
    int batchSizes() {
        return mBatchSizes;
    }

    Resources capacity() {
        return new Resources(mProcessorsMilli, mMemoryMebibytes, 0);
    }

    List<WorkerView> workers() {
        return workers(WORKERS);
    }

    List<WorkerView> workers(int count) {
        List<WorkerView> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int rack = i / WORKERS_PER_RACK;
            workers.add(
                    new WorkerView(
                            new WorkerId("worker-" + i),
                            new RackId("rack-" + rack),
                            new ZoneId("zone-" + rack % mZones),
                            capacity(),
                            Resources.NONE,
                            true));
        }
        return workers;
    }
}
