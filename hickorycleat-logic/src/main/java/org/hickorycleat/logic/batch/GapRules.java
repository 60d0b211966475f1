package org.hickorycleat.logic.batch;

/** The gap rules that were measured against each other. */
public final class GapRules {
    /** The gap that opens first; among gaps that are open, the first worker. */
    public static final GapRule EARLIEST_GAP = gap -> gap.openMs() + gap.order() / 1e6;

    /** The gap with the most free room. */
    public static final GapRule WORST_FIT = gap -> -gap.freeShare();

    /** The gap with the least free room, which keeps large gaps for large jobs. */
    public static final GapRule BEST_FIT = Gap::freeShare;

    private GapRules() {}
}
