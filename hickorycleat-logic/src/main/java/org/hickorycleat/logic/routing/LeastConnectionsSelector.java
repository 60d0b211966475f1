package org.hickorycleat.logic.routing;

import java.util.List;
import java.util.SplittableRandom;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Chooses a target with the fewest requests of this entry, at random among equals; a baseline for
 * measurements.
 */
public final class LeastConnectionsSelector extends BaselineSelector {
    private final SplittableRandom mRandom;

    /** Creates the selector; the seed determines its choices. */
    public LeastConnectionsSelector(TargetDirectory directory, long seed) {
        super(directory);
        mRandom = new SplittableRandom(seed);
    }

    @Override
    TargetView choose(ServiceName service, List<TargetView> candidates) {
        int fewest = candidates.stream().mapToInt(view -> inFlight(view.address())).min().orElse(0);
        List<TargetView> leastLoaded =
                candidates.stream().filter(view -> inFlight(view.address()) == fewest).toList();
        return leastLoaded.get(mRandom.nextInt(leastLoaded.size()));
    }
}
