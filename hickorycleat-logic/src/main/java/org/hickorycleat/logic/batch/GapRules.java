package org.hickorycleat.logic.batch;

/** The available gap rules. */
public final class GapRules {
    /** Selects the gap that starts first; ties go to the worker with the lowest index. */
    public static final GapRule EARLIEST_GAP = gap -> gap.startMs() + gap.workerIndex() / 1e6;

    /** Selects the gap with the most free resources. */
    public static final GapRule WORST_FIT = gap -> -gap.freeShare();

    /** Selects the gap with the least free resources, which keeps large gaps for large jobs. */
    public static final GapRule BEST_FIT = Gap::freeShare;

    private GapRules() {}
}
