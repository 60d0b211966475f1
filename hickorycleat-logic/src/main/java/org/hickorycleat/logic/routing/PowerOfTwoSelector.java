package org.hickorycleat.logic.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;

/** Chooses the better of two random targets by load and latency, and ejects outliers. */
public final class PowerOfTwoSelector implements TargetSelector {
    private final TargetDirectory mDirectory;
    private final ZoneId mOwnZone;
    private final RoutingSettings mSettings;
    private final long mSeed;
    private final ConcurrentMap<ServiceName, ServiceRoutes> mRoutesByService =
            new ConcurrentHashMap<>();

    /** Creates a selector for an entry in an availability zone; the seed determines its choices. */
    public PowerOfTwoSelector(
            TargetDirectory directory, ZoneId ownZone, RoutingSettings settings, long seed) {
        mDirectory = directory;
        mOwnZone = ownZone;
        mSettings = settings;
        mSeed = seed;
    }

    @Override
    public Optional<TargetReservation> reserve(
            ServiceName service, Predicate<TargetAddress> eligible) {
        List<TargetView> ready = mDirectory.readyTargets(service);
        // Evaluated before the lock is taken, because the predicate is code of the caller.
        Set<TargetAddress> eligibleTargets = new HashSet<>();
        for (TargetView view : ready) {
            if (eligible.test(view.address())) {
                eligibleTargets.add(view.address());
            }
        }
        if (eligibleTargets.isEmpty()) {
            return Optional.empty();
        }
        ServiceRoutes routes = mRoutesByService.computeIfAbsent(service, this::createRoutes);
        return routes.reserve(ready, eligibleTargets, mDirectory.liveEntries(), mDirectory.nowMs())
                .map(reserved -> new Reservation(routes, reserved));
    }

    /** Returns whether a target is ejected as an outlier. */
    public boolean isEjected(TargetAddress target) {
        ServiceRoutes routes = mRoutesByService.get(target.service());
        return routes != null && routes.isEjected(target);
    }

    /** Returns the measured state of the targets of a service for the state dump. */
    public List<RouteStatus> status(ServiceName service) {
        ServiceRoutes routes = mRoutesByService.get(service);
        return routes == null ? List.of() : routes.status(mDirectory.nowMs());
    }

    /**
     * Removes the state of targets that the directory no longer contains; to be called
     * periodically.
     */
    public void removeGoneTargets() {
        mRoutesByService.forEach(
                (service, routes) -> {
                    Set<TargetAddress> known = new HashSet<>();
                    mDirectory.targets(service).forEach(view -> known.add(view.address()));
                    routes.retainTargets(known);
                });
    }

    private ServiceRoutes createRoutes(ServiceName service) {
        return new ServiceRoutes(mSettings, mOwnZone, mSeed ^ service.value().hashCode());
    }

    private final class Reservation implements TargetReservation {
        private final ServiceRoutes mServiceRoutes;
        private final ServiceRoutes.ReservedRoute mReserved;
        private final AtomicBoolean mReleased = new AtomicBoolean();

        Reservation(ServiceRoutes routes, ServiceRoutes.ReservedRoute reserved) {
            mServiceRoutes = routes;
            mReserved = reserved;
        }

        @Override
        public TargetAddress target() {
            return mReserved.view().address();
        }

        @Override
        public void release(ResultCode code, Optional<LoadSignal> load, long latencyMicros) {
            if (!mReleased.compareAndSet(false, true)) {
                return;
            }
            mServiceRoutes.release(
                    mReserved, HealthObservation.of(code), latencyMicros, mDirectory.nowMs());
            Incarnation incarnation = mReserved.view().incarnation();
            load.ifPresent(signal -> mDirectory.onLoadSignal(target(), incarnation, signal));
            if (code == ResultCode.TARGET_LEAVING) {
                mDirectory.onTargetLeaving(target(), incarnation);
            }
        }
    }
}
