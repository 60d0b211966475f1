package org.hickorycleat.logic.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Ejects targets that fail, are slow or stop responding; guarded by the lock of {@link
 * ServiceRoutes}.
 */
final class OutlierDetector {
    /** Minimum time between two evaluations of all targets. */
    private static final long EVALUATION_INTERVAL_MS = 50;

    /** Responses required before error rate or latency is compared. */
    private static final int MINIMUM_SAMPLES = 4;

    /** Difference to the error rate of the peers above which a target is ejected. */
    private static final double ERROR_RATE_MARGIN = 0.3;

    /** Ratio to the latency of the peers above which a target is ejected. */
    private static final double LATENCY_FACTOR = 3;

    /** Prevents ejection of fast targets because of latency between availability zones. */
    private static final double LATENCY_MARGIN_MICROS = 10_000;

    /**
     * Ratio of the time without responses to the usual latency above which a target counts as
     * paused.
     */
    private static final double STALL_FACTOR = 10;

    private final RoutingSettings mSettings;
    private long mEvaluatedMs = Long.MIN_VALUE / 2;
    private double mMedianMicros;

    OutlierDetector(RoutingSettings settings) {
        mSettings = settings;
    }

    /** Returns the median latency of the targets that are not ejected. */
    double medianMicros() {
        return mMedianMicros;
    }

    /** Ejects outliers, at most every 50 ms. */
    void ejectOutliers(List<Route> ready, long nowMs) {
        if (nowMs - mEvaluatedMs < EVALUATION_INTERVAL_MS) {
            return;
        }
        mEvaluatedMs = nowMs;
        mMedianMicros = median(ready, TargetStatistics::latencyMicros).orElse(0.0);
        endExcessEjections(ready, nowMs);
        for (Route route : ready) {
            EjectionReason reason = findEjectionReason(route, ready, nowMs);
            if (reason != EjectionReason.NONE && tryAllowEjection(route, reason, ready, nowMs)) {
                route.statistics().ejection().eject(reason, mSettings, nowMs);
            }
        }
    }

    /** Updates the ejection of a target after a response; ignored if the target is not ejected. */
    void onResponse(
            TargetStatistics statistics,
            HealthObservation observation,
            boolean probe,
            long latencyMicros,
            long nowMs) {
        Ejection ejection = statistics.ejection();
        boolean resumed =
                ejection.reason() == EjectionReason.PAUSED
                        && observation == HealthObservation.SUCCESS;
        if (!ejection.isEjected() || !(probe || resumed)) {
            return;
        }
        if (observation == HealthObservation.NEUTRAL) {
            ejection.recordInconclusiveProbe();
        } else if (observation != HealthObservation.SUCCESS) {
            ejection.eject(EjectionReason.ERRORS, mSettings, nowMs);
        } else if (probe && latencyMicros > latencyThresholdMicros(mMedianMicros)) {
            ejection.eject(EjectionReason.LATENCY, mSettings, nowMs);
        } else if (ejection.recordSuccessfulProbe(mSettings.probes())) {
            ejection.end(nowMs);
            statistics.resetAfterEjection(mMedianMicros, nowMs);
        }
    }

    private EjectionReason findEjectionReason(Route route, List<Route> ready, long nowMs) {
        TargetStatistics statistics = route.statistics();
        boolean stalled = statistics.noResponseMs(nowMs) > stallThresholdMs(statistics);
        if (statistics.ejection().isEjected()) {
            boolean probeStalled = stalled && statistics.ejection().isProbeOutstanding();
            return probeStalled ? EjectionReason.PAUSED : EjectionReason.NONE;
        }
        if (stalled) {
            return EjectionReason.PAUSED;
        }
        if (statistics.samples() < MINIMUM_SAMPLES) {
            return EjectionReason.NONE;
        }
        if (isErrorOutlier(route, ready, nowMs)) {
            return EjectionReason.ERRORS;
        }
        return isLatencyOutlier(route, ready, nowMs) ? EjectionReason.LATENCY : EjectionReason.NONE;
    }

    private boolean isErrorOutlier(Route route, List<Route> ready, long nowMs) {
        Optional<Double> median =
                peerMedian(ready, route, statistics -> statistics.errorRate(nowMs));
        return median.isPresent()
                && route.statistics().errorRate(nowMs) > median.get() + ERROR_RATE_MARGIN;
    }

    private boolean isLatencyOutlier(Route route, List<Route> ready, long nowMs) {
        Optional<Double> median = peerMedian(ready, route, TargetStatistics::latencyMicros);
        return median.isPresent()
                && route.statistics().expectedLatencyMicros(median.get(), nowMs)
                        > latencyThresholdMicros(median.get());
    }

    private static double latencyThresholdMicros(double medianMicros) {
        return Math.max(LATENCY_FACTOR * medianMicros, medianMicros + LATENCY_MARGIN_MICROS);
    }

    private double stallThresholdMs(TargetStatistics statistics) {
        double usualMs = Math.max(statistics.latencyMicros(), mMedianMicros) / 1_000;
        double shortestMs = mSettings.stallMinimumMs();
        double longestMs = mSettings.stallMaximumMs();
        return Math.min(
                Math.max(longestMs, LATENCY_FACTOR * usualMs),
                Math.max(shortestMs, STALL_FACTOR * usualMs));
    }

    private int maximumEjected(List<Route> ready) {
        return ready.size() * mSettings.maximumEjectedPercent() / 100;
    }

    private static long countEjected(List<Route> ready) {
        return ready.stream().filter(Route::isEjected).count();
    }

    /** Returns whether the target may be ejected; may return a slow target to use for this. */
    private boolean tryAllowEjection(
            Route route, EjectionReason reason, List<Route> ready, long nowMs) {
        if (route.isEjected() || countEjected(ready) < maximumEjected(ready)) {
            return true;
        }
        if (reason == EjectionReason.LATENCY) {
            return false;
        }
        Optional<Route> slow =
                ready.stream()
                        .filter(
                                other ->
                                        other.statistics().ejection().reason()
                                                == EjectionReason.LATENCY)
                        .findFirst();
        slow.ifPresent(other -> other.statistics().ejection().end(nowMs));
        return slow.isPresent();
    }

    /**
     * Ends the ejections that expire first if too many of the remaining ready targets are ejected.
     */
    private void endExcessEjections(List<Route> ready, long nowMs) {
        long excess = countEjected(ready) - maximumEjected(ready);
        if (excess <= 0) {
            return;
        }
        ready.stream()
                .filter(Route::isEjected)
                .sorted(Comparator.comparingLong(route -> route.statistics().ejection().untilMs()))
                .limit(excess)
                .forEach(route -> route.statistics().ejection().end(nowMs));
    }

    private static Optional<Double> peerMedian(
            List<Route> ready, Route excluded, ToDoubleFunction<TargetStatistics> value) {
        TargetAddress address = excluded.view().address();
        return median(
                ready.stream().filter(route -> !route.view().address().equals(address)).toList(),
                value);
    }

    /** Returns the median over targets in use with enough samples; empty if fewer than two. */
    private static Optional<Double> median(
            List<Route> routes, ToDoubleFunction<TargetStatistics> value) {
        double[] values =
                routes.stream()
                        .filter(route -> !route.isEjected())
                        .map(Route::statistics)
                        .filter(statistics -> statistics.samples() >= MINIMUM_SAMPLES)
                        .mapToDouble(value)
                        .sorted()
                        .toArray();
        return values.length < 2 ? Optional.empty() : Optional.of(values[(values.length - 1) / 2]);
    }
}
