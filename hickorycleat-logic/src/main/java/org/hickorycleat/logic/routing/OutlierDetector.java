package org.hickorycleat.logic.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Ejects targets that fail, lag or stall; guarded by the lock of its shard. */
final class OutlierDetector {
    /** Time between two reviews of all targets. */
    private static final long REVIEW_INTERVAL_MS = 50;

    /** Answers required before error rate or latency is judged. */
    private static final int MINIMUM_SAMPLES = 4;

    /** Error rate above that of the peers that ejects a target. */
    private static final double ERROR_RATE_MARGIN = 0.3;

    /** Latency relative to that of the peers that ejects a target. */
    private static final double LATENCY_FACTOR = 3;

    /** Keeps differences between availability zones from ejecting fast targets. */
    private static final double LATENCY_MARGIN_MICROS = 10_000;

    /** Waiting time relative to usual latency after which a target counts as paused. */
    private static final double STALL_FACTOR = 10;

    private final RoutingSettings mSettings;
    private long mReviewedMs = Long.MIN_VALUE / 2;
    private double mMedianMicros;

    OutlierDetector(RoutingSettings settings) {
        mSettings = settings;
    }

    /** Returns the median latency of the targets that are not ejected. */
    double medianMicros() {
        return mMedianMicros;
    }

    /** Ejects outliers, at most every 50 ms. */
    void review(List<Route> ready, long nowMs) {
        if (nowMs - mReviewedMs < REVIEW_INTERVAL_MS) {
            return;
        }
        mReviewedMs = nowMs;
        mMedianMicros = median(ready, TargetTrack::latencyMicros).orElse(0.0);
        restoreFloor(ready, nowMs);
        for (Route route : ready) {
            EjectionReason reason = judge(route, ready, nowMs);
            if (reason != EjectionReason.NONE && makeRoom(route, reason, ready, nowMs)) {
                route.track().ejection().eject(reason, mSettings, nowMs);
            }
        }
    }

    /** Takes in the answer of a request to an ejected target. */
    void answered(
            TargetTrack track, AnswerKind kind, boolean probe, long latencyMicros, long nowMs) {
        Ejection ejection = track.ejection();
        boolean resumed = ejection.reason() == EjectionReason.PAUSED && kind == AnswerKind.SUCCESS;
        if (!ejection.isEjected() || !(probe || resumed)) {
            return;
        }
        if (kind == AnswerKind.NEUTRAL) {
            ejection.probeInconclusive();
        } else if (kind != AnswerKind.SUCCESS) {
            ejection.eject(EjectionReason.ERRORS, mSettings, nowMs);
        } else if (probe && latencyMicros > latencyLimit(mMedianMicros)) {
            ejection.eject(EjectionReason.LATENCY, mSettings, nowMs);
        } else if (ejection.probeSucceeded(mSettings.probes())) {
            ejection.end(nowMs);
            track.returned(mMedianMicros, nowMs);
        }
    }

    private EjectionReason judge(Route route, List<Route> ready, long nowMs) {
        TargetTrack track = route.track();
        boolean stalled = track.waitingMs(nowMs) > stallMs(track);
        if (track.ejection().isEjected()) {
            boolean probeStalled = stalled && track.ejection().isProbeOutstanding();
            return probeStalled ? EjectionReason.PAUSED : EjectionReason.NONE;
        }
        if (stalled) {
            return EjectionReason.PAUSED;
        }
        if (track.samples() < MINIMUM_SAMPLES) {
            return EjectionReason.NONE;
        }
        if (isErrorOutlier(route, ready, nowMs)) {
            return EjectionReason.ERRORS;
        }
        return isLatencyOutlier(route, ready, nowMs) ? EjectionReason.LATENCY : EjectionReason.NONE;
    }

    private boolean isErrorOutlier(Route route, List<Route> ready, long nowMs) {
        Optional<Double> median = peerMedian(ready, route, track -> track.errorRate(nowMs));
        return median.isPresent()
                && route.track().errorRate(nowMs) > median.get() + ERROR_RATE_MARGIN;
    }

    private boolean isLatencyOutlier(Route route, List<Route> ready, long nowMs) {
        Optional<Double> median = peerMedian(ready, route, TargetTrack::latencyMicros);
        return median.isPresent()
                && route.track().expectedLatencyMicros(median.get(), nowMs)
                        > latencyLimit(median.get());
    }

    private static double latencyLimit(double medianMicros) {
        return Math.max(LATENCY_FACTOR * medianMicros, medianMicros + LATENCY_MARGIN_MICROS);
    }

    private double stallMs(TargetTrack track) {
        double usualMs = Math.max(track.latencyMicros(), mMedianMicros) / 1_000;
        double shortestMs = mSettings.stallMinimumMs();
        double longestMs = mSettings.stallMaximumMs();
        return Math.min(
                Math.max(longestMs, LATENCY_FACTOR * usualMs),
                Math.max(shortestMs, STALL_FACTOR * usualMs));
    }

    private int allowed(List<Route> ready) {
        return ready.size() * mSettings.maximumEjectedPercent() / 100;
    }

    private static long ejected(List<Route> ready) {
        return ready.stream().filter(Route::isEjected).count();
    }

    /** Tells whether the target may be ejected; a merely slow one gives way to a useless one. */
    private boolean makeRoom(Route route, EjectionReason reason, List<Route> ready, long nowMs) {
        if (route.isEjected() || ejected(ready) < allowed(ready)) {
            return true;
        }
        if (reason == EjectionReason.LATENCY) {
            return false;
        }
        Optional<Route> slow =
                ready.stream()
                        .filter(
                                other ->
                                        other.track().ejection().reason() == EjectionReason.LATENCY)
                        .findFirst();
        slow.ifPresent(other -> other.track().ejection().end(nowMs));
        return slow.isPresent();
    }

    /** Ends the oldest ejections when targets that left the view make them too many. */
    private void restoreFloor(List<Route> ready, long nowMs) {
        long excess = ejected(ready) - allowed(ready);
        if (excess <= 0) {
            return;
        }
        ready.stream()
                .filter(Route::isEjected)
                .sorted(Comparator.comparingLong(route -> route.track().ejection().untilMs()))
                .limit(excess)
                .forEach(route -> route.track().ejection().end(nowMs));
    }

    private static Optional<Double> peerMedian(
            List<Route> ready, Route except, ToDoubleFunction<TargetTrack> value) {
        TargetAddress address = except.view().address();
        return median(
                ready.stream().filter(route -> !route.view().address().equals(address)).toList(),
                value);
    }

    /** Median over measured targets in use; empty without two of them. */
    private static Optional<Double> median(
            List<Route> routes, ToDoubleFunction<TargetTrack> value) {
        double[] values =
                routes.stream()
                        .filter(route -> !route.isEjected())
                        .map(Route::track)
                        .filter(track -> track.samples() >= MINIMUM_SAMPLES)
                        .mapToDouble(value)
                        .sorted()
                        .toArray();
        return values.length < 2 ? Optional.empty() : Optional.of(values[(values.length - 1) / 2]);
    }
}
