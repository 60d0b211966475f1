package org.hickorycleat.logic.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;

/** Admission state of one service; one lock guards all of it. */
final class ServiceLimiter {
    private static final long REFRESH_INTERVAL_MS = 20;

    /**
     * Requests within a share may exceed the limit by this factor while borrowed capacity drains.
     */
    private static final double OVERCOMMIT_FACTOR = 1.25;

    private final AdmissionSettings mSettings;
    private final ConcurrencyLimit mLimit;
    private final Map<Criticality, ClassUsage> mClasses = new EnumMap<>(Criticality.class);
    private int mInFlight;
    private long mRefreshedMs = Long.MIN_VALUE / 2;

    ServiceLimiter(AdmissionSettings settings, long nowMs) {
        mSettings = settings;
        mLimit = new ConcurrencyLimit(settings);
        for (Criticality criticality : Criticality.values()) {
            mClasses.put(criticality, new ClassUsage(nowMs));
        }
    }

    synchronized boolean isRefreshDue(long nowMs) {
        return nowMs - mRefreshedMs >= REFRESH_INTERVAL_MS;
    }

    /** Updates the limit from the capacity and recomputes the fair limits of all teams. */
    synchronized void refresh(
            ServiceCapacity capacity, ToIntFunction<TeamName> weights, long nowMs) {
        mRefreshedMs = nowMs;
        mLimit.update(capacity, mInFlight, nowMs);
        mClasses.forEach(
                (criticality, usage) ->
                        usage.assignFairLimits(available(criticality, nowMs), weights, nowMs));
    }

    /** Counts a request and admits it if the limits allow; empty if it is rejected. */
    synchronized Optional<AdmittedRequest> admit(
            Criticality criticality, TeamName team, int weight, long nowMs) {
        ClassUsage classUsage = usage(criticality);
        TeamUsage teamUsage = classUsage.team(team, weight, nowMs);
        classUsage.usage().recordArrival(nowMs);
        teamUsage.usage().recordArrival(nowMs);
        if (!isAdmissible(criticality, teamUsage, nowMs)) {
            mLimit.recordRejection();
            return Optional.empty();
        }
        classUsage.usage().recordStart(nowMs);
        teamUsage.usage().recordStart(nowMs);
        mInFlight++;
        return Optional.of(new AdmittedRequest(classUsage.usage(), teamUsage.usage()));
    }

    synchronized void release(AdmittedRequest admitted, long nowMs) {
        admitted.classUsage().recordEnd(nowMs);
        admitted.teamUsage().recordEnd(nowMs);
        mInFlight--;
    }

    /** Returns the ratio of arriving to admitted requests of a class, at least 1. */
    synchronized double overload(Criticality criticality, long nowMs) {
        Usage usage = usage(criticality).usage();
        return Math.max(1, usage.arrivals(nowMs) / Math.max(1, usage.admitted(nowMs)));
    }

    synchronized boolean isUnused() {
        return mInFlight == 0;
    }

    synchronized AdmissionStatus status() {
        Map<Criticality, Integer> inFlight = new EnumMap<>(Criticality.class);
        int teams = 0;
        for (Map.Entry<Criticality, ClassUsage> entry : mClasses.entrySet()) {
            inFlight.put(entry.getKey(), entry.getValue().usage().inFlight());
            teams += entry.getValue().teams();
        }
        return new AdmissionStatus(mLimit.value(), mInFlight, inFlight, teams);
    }

    private boolean isAdmissible(Criticality criticality, TeamUsage team, long nowMs) {
        if (!team.isWithinFairLimit(nowMs)) {
            return false;
        }
        Usage usage = usage(criticality).usage();
        if (usage.inFlight() + 1 <= guarantee(criticality) || mayBorrow(criticality, nowMs)) {
            return true;
        }
        boolean burstAllowed = mInFlight < mLimit.value() * OVERCOMMIT_FACTOR;
        return burstAllowed
                && (team.isWithinFairShare()
                        || BurstTolerance.allowsRequest(usage, guarantee(criticality), nowMs));
    }

    private boolean mayBorrow(Criticality criticality, long nowMs) {
        return mInFlight + 1 + reserve(criticality, nowMs) <= mLimit.value();
    }

    private double guarantee(Criticality criticality) {
        return mSettings.share(criticality) * mLimit.value();
    }

    /** Returns the requests that the class may have in flight given those of the other classes. */
    private double available(Criticality criticality, long nowMs) {
        double unclaimed = mLimit.value() - mInFlight - reserve(criticality, nowMs);
        return Math.max(guarantee(criticality), usage(criticality).usage().inFlight() + unclaimed);
    }

    /**
     * Returns the capacity that a borrowing class leaves for expected requests of other classes.
     */
    private double reserve(Criticality borrower, long nowMs) {
        double reserve = mSettings.reserveShare() * mLimit.value();
        for (Map.Entry<Criticality, ClassUsage> entry : mClasses.entrySet()) {
            if (entry.getKey() != borrower) {
                double entitled = entitlement(entry.getKey(), borrower, nowMs);
                reserve += Math.max(0, entitled - entry.getValue().usage().inFlight());
            }
        }
        return reserve;
    }

    /** Returns the demand of a more critical class, or at most the guarantee of any other. */
    private double entitlement(Criticality other, Criticality borrower, long nowMs) {
        ClassUsage usage = usage(other);
        if (other.compareTo(borrower) < 0) {
            return usage.demand(nowMs);
        }
        return Math.min(guarantee(other), usage.usage().meanInFlight(nowMs));
    }

    private ClassUsage usage(Criticality criticality) {
        return Objects.requireNonNull(mClasses.get(criticality));
    }

    /** Counters that include an admitted request. */
    record AdmittedRequest(Usage classUsage, Usage teamUsage) {}
}
