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
 * <p>Callers must check that the service is configured, because state is kept for every service
 * passed to {@link #admit}.
 */
public final class FairAdmissionControl implements AdmissionControl {
    /** Teams without a configured weight share one record, so that invented names use no memory. */
    private static final TeamName UNKNOWN_TEAM = new TeamName("(unknown)");

    private static final int UNKNOWN_WEIGHT = 1;

    private final CapacitySource mCapacity;
    private final Scheduler mScheduler;
    private final AdmissionSettings mSettings;
    private final RetryDelay mRetryDelay;
    private final ConcurrentMap<ServiceName, ServiceLimiter> mLimiters = new ConcurrentHashMap<>();
    private volatile Map<TeamName, Integer> mWeights = Map.of();

    /** Creates admission control; the seed determines the jitter of advised retry delays. */
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
            return new Admission.Rejected(ResultCode.DEADLINE_EXCEEDED, 0);
        }
        ServiceLimiter limiter =
                mLimiters.computeIfAbsent(service, key -> new ServiceLimiter(mSettings, nowMs));
        if (limiter.isRefreshDue(nowMs)) {
            limiter.refresh(mCapacity.capacity(service), this::weight, nowMs);
        }
        TeamName accountedTeam = mWeights.containsKey(team) ? team : UNKNOWN_TEAM;
        Optional<ServiceLimiter.AdmittedRequest> admitted =
                limiter.admit(criticality, accountedTeam, weight(accountedTeam), nowMs);
        if (admitted.isEmpty()) {
            double overload = limiter.overload(criticality, nowMs);
            return new Admission.Rejected(ResultCode.OVERLOADED, mRetryDelay.nextDelayMs(overload));
        }
        return new Admission.Admitted(new Permit(limiter, admitted.get()));
    }

    /** Returns the state of a service for the state dump; empty if it has received no request. */
    public Optional<AdmissionStatus> status(ServiceName service) {
        return Optional.ofNullable(mLimiters.get(service)).map(ServiceLimiter::status);
    }

    /**
     * Removes the state of services that are no longer configured and have no request in flight.
     */
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

    private final class Permit implements Admission.AdmissionPermit {
        private final ServiceLimiter mLimiter;
        private final ServiceLimiter.AdmittedRequest mAdmittedRequest;
        private final AtomicBoolean mClosed = new AtomicBoolean();

        Permit(ServiceLimiter limiter, ServiceLimiter.AdmittedRequest admitted) {
            mLimiter = limiter;
            mAdmittedRequest = admitted;
        }

        @Override
        public void close() {
            if (mClosed.compareAndSet(false, true)) {
                mLimiter.release(mAdmittedRequest, mScheduler.now(TimeUnit.MILLISECONDS));
            }
        }
    }
}
