package org.hickorycleat.logic.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.model.identifier.ServiceName;

/** Chooses the targets in turn; a baseline for measurements. */
public final class RoundRobinSelector extends BaselineSelector {
    private final Map<ServiceName, Integer> mNext = new HashMap<>();

    /** Creates the selector. */
    public RoundRobinSelector(TargetDirectory directory) {
        super(directory);
    }

    @Override
    TargetView choose(ServiceName service, List<TargetView> candidates) {
        int next = mNext.merge(service, 1, Integer::sum);
        return candidates.get(Math.floorMod(next, candidates.size()));
    }
}
