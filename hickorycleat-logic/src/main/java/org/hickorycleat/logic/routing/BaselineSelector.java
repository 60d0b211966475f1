package org.hickorycleat.logic.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;

/**
 * Base class of the baseline selectors: counts requests per target and respects only the connection
 * limit.
 */
abstract class BaselineSelector implements TargetSelector {
    private final TargetDirectory mDirectory;
    private final Map<TargetAddress, Integer> mInFlight = new HashMap<>();

    BaselineSelector(TargetDirectory directory) {
        mDirectory = directory;
    }

    /** Chooses among targets with a free connection; the list is not empty. */
    abstract TargetView choose(ServiceName service, List<TargetView> candidates);

    @Override
    public final synchronized Optional<TargetReservation> reserve(
            ServiceName service, Predicate<TargetAddress> eligible) {
        List<TargetView> candidates =
                mDirectory.readyTargets(service).stream()
                        .filter(view -> eligible.test(view.address()))
                        .filter(view -> inFlight(view.address()) < view.connections())
                        .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        TargetAddress target = choose(service, candidates).address();
        mInFlight.merge(target, 1, Integer::sum);
        return Optional.of(new Reservation(target));
    }

    final synchronized int inFlight(TargetAddress target) {
        return mInFlight.getOrDefault(target, 0);
    }

    private synchronized void decrementInFlight(TargetAddress target) {
        mInFlight.computeIfPresent(target, (key, count) -> count == 1 ? null : count - 1);
    }

    private final class Reservation implements TargetReservation {
        private final TargetAddress mTarget;
        private boolean mReleased;

        Reservation(TargetAddress target) {
            mTarget = target;
        }

        @Override
        public TargetAddress target() {
            return mTarget;
        }

        @Override
        public void release(ResultCode code, Optional<LoadSignal> load, long latencyMicros) {
            synchronized (BaselineSelector.this) {
                if (!mReleased) {
                    mReleased = true;
                    decrementInFlight(mTarget);
                }
            }
        }
    }
}
