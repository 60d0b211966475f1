package org.hickorycleat.logic.placement;

import java.util.List;
import org.hickorycleat.model.task.PlacementDecision;

/** Decides what to start, evict, throttle and refuse. */
@FunctionalInterface
public interface PlacementPolicy {
    /** Returns decisions that together keep every worker within its capacity. */
    List<PlacementDecision> decide(PlacementView view, long nowMs);
}
