package org.hickorycleat.logic.routing;

import java.util.List;
import java.util.SplittableRandom;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.model.identifier.ServiceName;

/** Baseline: takes a target with the fewest own requests, at random among equals. */
public final class LeastConnectionsSelector extends CountingSelector {
    private final SplittableRandom mRandom;

    /** Creates the selector; the seed fixes its choices. */
    public LeastConnectionsSelector(TargetDirectory directory, long seed) {
        super(directory);
        mRandom = new SplittableRandom(seed);
    }

    @Override
    TargetView choose(ServiceName service, List<TargetView> candidates) {
        int fewest = candidates.stream().mapToInt(view -> inFlight(view.address())).min().orElse(0);
        List<TargetView> equals =
                candidates.stream().filter(view -> inFlight(view.address()) == fewest).toList();
        return equals.get(mRandom.nextInt(equals.size()));
    }
}
