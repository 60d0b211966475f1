package org.hickorycleat.logic.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;

/** Admission state of one service, under one lock. */
final class ServiceLimiter {
    private static final long REFRESH_INTERVAL_MS = 20;

    /** Requests within a share may exceed the limit this far while borrowers drain. */
    private static final double OVERCOMMIT = 1.25;

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

    /** Takes in the capacity and divides it anew. */
    synchronized void refresh(ServiceSlots slots, ToIntFunction<TeamName> weights, long nowMs) {
        mRefreshedMs = nowMs;
        mLimit.update(slots, mInFlight, nowMs);
        mClasses.forEach(
                (criticality, usage) ->
                        usage.divide(available(criticality, nowMs), weights, nowMs));
    }

    /** Counts and admits a request; empty if it is refused. */
    synchronized Optional<Admitted> admit(
            Criticality criticality, TeamName team, int weight, long nowMs) {
        ClassUsage classUsage = usage(criticality);
        TeamUsage teamUsage = classUsage.team(team, weight, nowMs);
        classUsage.usage().arrived(nowMs);
        teamUsage.usage().arrived(nowMs);
        if (!isAdmissible(criticality, teamUsage, nowMs)) {
            mLimit.limited();
            return Optional.empty();
        }
        classUsage.usage().started(nowMs);
        teamUsage.usage().started(nowMs);
        mInFlight++;
        return Optional.of(new Admitted(classUsage.usage(), teamUsage.usage()));
    }

    synchronized void release(Admitted admitted, long nowMs) {
        admitted.classUsage().ended(nowMs);
        admitted.teamUsage().ended(nowMs);
        mInFlight--;
    }

    /** Returns how many times more requests arrive in a class than are admitted. */
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
        boolean roomForBursts = mInFlight < mLimit.value() * OVERCOMMIT;
        return roomForBursts
                && (team.isEntitled() || Burst.fits(usage, guarantee(criticality), nowMs));
    }

    private boolean mayBorrow(Criticality criticality, long nowMs) {
        return mInFlight + 1 + reserve(criticality, nowMs) <= mLimit.value();
    }

    private double guarantee(Criticality criticality) {
        return mSettings.share(criticality) * mLimit.value();
    }

    /** Requests that the class can have in flight given what the others have. */
    private double available(Criticality criticality, long nowMs) {
        double room = mLimit.value() - mInFlight - reserve(criticality, nowMs);
        return Math.max(guarantee(criticality), usage(criticality).usage().inFlight() + room);
    }

    /** Room that a borrowing class leaves to what the other classes are about to ask for. */
    private double reserve(Criticality borrower, long nowMs) {
        double reserve = mSettings.reserveShare() * mLimit.value();
        for (Map.Entry<Criticality, ClassUsage> entry : mClasses.entrySet()) {
            if (entry.getKey() != borrower) {
                double wanted = wanted(entry.getKey(), borrower, nowMs);
                reserve += Math.max(0, wanted - entry.getValue().usage().inFlight());
            }
        }
        return reserve;
    }

    /** A more critical class borrows first; others are entitled to their guarantee only. */
    private double wanted(Criticality other, Criticality borrower, long nowMs) {
        ClassUsage usage = usage(other);
        if (other.compareTo(borrower) < 0) {
            return usage.demand(nowMs);
        }
        return Math.min(guarantee(other), usage.usage().mean(nowMs));
    }

    private ClassUsage usage(Criticality criticality) {
        return Objects.requireNonNull(mClasses.get(criticality));
    }

    /** What an admitted request is counted in. */
    record Admitted(Usage classUsage, Usage teamUsage) {}
}
