package org.hickorycleat.logic.placement;

import java.util.List;
import org.hickorycleat.model.task.PlacementDecision;

/** Decides which tasks to start, evict, throttle or reject. */
@FunctionalInterface
public interface PlacementPolicy {
    /** Returns decisions that, applied together, keep every worker within its capacity. */
    List<PlacementDecision> decide(PlacementView view, long nowMs);
}
