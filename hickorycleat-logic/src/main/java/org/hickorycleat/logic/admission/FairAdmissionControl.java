package org.hickorycleat.logic.admission;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.result.ResultCode;

/**
 * Admits requests up to a concurrency limit per service, with guaranteed shares for classes and
 * fair shares for teams.
 *
 * <p>The caller has checked that the service is configured: state is kept per service asked for.
 */
public final class FairAdmissionControl implements AdmissionControl {
    /** All teams without a configured weight share one, so that they take no memory each. */
    private static final TeamName UNKNOWN_TEAM = new TeamName("(unknown)");

    private static final int UNKNOWN_WEIGHT = 1;

    private final CapacitySource mCapacity;
    private final Scheduler mScheduler;
    private final AdmissionSettings mSettings;
    private final RetryDelay mRetryDelay;
    private final ConcurrentMap<ServiceName, ServiceLimiter> mLimiters = new ConcurrentHashMap<>();
    private volatile Map<TeamName, Integer> mWeights = Map.of();

    /** Creates the control; the seed fixes the jitter of retries. */
    public FairAdmissionControl(
            CapacitySource capacity, Scheduler scheduler, AdmissionSettings settings, long seed) {
        mCapacity = capacity;
        mScheduler = scheduler;
        mSettings = settings;
        mRetryDelay = new RetryDelay(settings, seed);
    }

    /** Replaces the weights of the teams. */
    public void setTeamWeights(Map<TeamName, Integer> weights) {
        mWeights = Map.copyOf(weights);
    }

    @Override
    public Admission admit(
            ServiceName service, Criticality criticality, TeamName team, long remainingMs) {
        long nowMs = mScheduler.now(TimeUnit.MILLISECONDS);
        if (remainingMs <= 0) {
            return new Admission.Refused(ResultCode.DEADLINE_EXCEEDED, 0);
        }
        ServiceLimiter limiter =
                mLimiters.computeIfAbsent(service, key -> new ServiceLimiter(mSettings, nowMs));
        if (limiter.isRefreshDue(nowMs)) {
            limiter.refresh(mCapacity.slots(service), this::weight, nowMs);
        }
        TeamName counted = mWeights.containsKey(team) ? team : UNKNOWN_TEAM;
        Optional<ServiceLimiter.Admitted> admitted =
                limiter.admit(criticality, counted, weight(counted), nowMs);
        if (admitted.isEmpty()) {
            double overload = limiter.overload(criticality, nowMs);
            return new Admission.Refused(ResultCode.OVERLOADED, mRetryDelay.afterMs(overload));
        }
        return new Admission.Admitted(new Permit(limiter, admitted.get()));
    }

    /** Returns the state of a service, for the dump; empty if it has had no request. */
    public Optional<AdmissionStatus> status(ServiceName service) {
        return Optional.ofNullable(mLimiters.get(service)).map(ServiceLimiter::status);
    }

    /** Drops the state of services that are no longer configured and have nothing in flight. */
    public void retainServices(Set<ServiceName> configured) {
        mLimiters
                .entrySet()
                .removeIf(
                        entry ->
                                !configured.contains(entry.getKey())
                                        && entry.getValue().isUnused());
    }

    private int weight(TeamName team) {
        return Math.max(1, mWeights.getOrDefault(team, UNKNOWN_WEIGHT));
    }

    private final class Permit implements Admission.AutoCloseablePermit {
        private final ServiceLimiter mLimiter;
        private final ServiceLimiter.Admitted mAdmitted;
        private final AtomicBoolean mClosed = new AtomicBoolean();

        Permit(ServiceLimiter limiter, ServiceLimiter.Admitted admitted) {
            mLimiter = limiter;
            mAdmitted = admitted;
        }

        @Override
        public void close() {
            if (mClosed.compareAndSet(false, true)) {
                mLimiter.release(mAdmitted, mScheduler.now(TimeUnit.MILLISECONDS));
            }
        }
    }
}
