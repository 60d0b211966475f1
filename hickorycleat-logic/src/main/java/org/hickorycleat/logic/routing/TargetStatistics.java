package org.hickorycleat.logic.routing;

import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.model.identifier.Incarnation;

/**
 * Statistics of one incarnation of a target from the requests of this entry; guarded by the lock of
 * {@link ServiceRoutes}.
 */
final class TargetStatistics {
    /** Weight of the newest sample in the exponential moving averages. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /** Half-life of the last reported load from other entries. */
    private static final double LOAD_HALF_LIFE_MS = 500;

    /**
     * Half-life of measured latency and error rate while no response arrives. Without it, a target
     * that failed once would be avoided permanently at low load.
     */
    private static final double SAMPLE_HALF_LIFE_MS = 5_000;

    private final Incarnation mIncarnation;
    private final Ejection mEjection = new Ejection();
    private final RecentPeak mRecentPeakInFlight = new RecentPeak();
    private int mInFlight;
    private long mLoadMs;
    private int mOthersInFlight;
    private double mLatencyMicros;
    private double mErrorRate;
    private int mSamples;
    private long mSampledMs;
    private long mNoResponseSinceMs;
    private long mReturnedMs;

    TargetStatistics(TargetView view) {
        mIncarnation = view.incarnation();
        mReturnedMs = view.upSinceMs();
        mLoadMs = Long.MIN_VALUE / 2;
    }

    Incarnation incarnation() {
        return mIncarnation;
    }

    Ejection ejection() {
        return mEjection;
    }

    int inFlight() {
        return mInFlight;
    }

    int samples() {
        return mSamples;
    }

    double errorRate(long nowMs) {
        return mErrorRate * decayFactor(nowMs);
    }

    double latencyMicros() {
        return mLatencyMicros;
    }

    void recordStart(long nowMs) {
        if (mInFlight == 0) {
            mNoResponseSinceMs = nowMs;
        }
        mInFlight++;
        mRecentPeakInFlight.record(mInFlight, nowMs);
    }

    void recordEnd() {
        mInFlight--;
    }

    /**
     * Updates the load from other entries: the reported load minus the requests of this entry.
     *
     * <p>The signal may be a second old, so the recent peak of this entry's requests is subtracted.
     * With the current number, requests that have ended would count as load from other entries, and
     * this entry would alternate between targets.
     */
    void observeLoad(TargetView view, long nowMs) {
        mReturnedMs = Math.max(mReturnedMs, view.upSinceMs());
        if (view.loadMs() <= mLoadMs) {
            return;
        }
        mLoadMs = view.loadMs();
        int reported = view.load().inFlight() + view.load().queued();
        mOthersInFlight = Math.max(0, reported - mRecentPeakInFlight.value(nowMs));
    }

    void recordResponse(HealthObservation observation, long latencyMicros, long nowMs) {
        if (observation == HealthObservation.NEUTRAL) {
            return;
        }
        boolean success = observation == HealthObservation.SUCCESS;
        if (observation != HealthObservation.NO_ANSWER) {
            mNoResponseSinceMs = nowMs;
        }
        // Larger weights at first make targets with few and with many responses comparable.
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / (mSamples + 2));
        mErrorRate += weight * ((success ? 0 : 1) - mErrorRate);
        // A fast failure must not lower the measured latency.
        double measured = (double) latencyMicros;
        double sample = success ? measured : Math.max(measured, mLatencyMicros);
        mLatencyMicros =
                mSamples == 0 ? sample : mLatencyMicros + SAMPLE_WEIGHT * (sample - mLatencyMicros);
        mSamples++;
        mSampledMs = nowMs;
    }

    /** Discards the samples that led to an ejection, so that they do not eject the target again. */
    void resetAfterEjection(double latencyMicros, long nowMs) {
        mErrorRate = 0;
        mLatencyMicros = latencyMicros;
        mSamples = 0;
        mReturnedMs = nowMs;
    }

    /** Returns the requests of this entry plus those of others, discounted by the signal's age. */
    double load(long nowMs) {
        double ageMs = Math.max(0, nowMs - mLoadMs);
        return mInFlight + mOthersInFlight * Math.pow(0.5, ageMs / LOAD_HALF_LIFE_MS);
    }

    /** Returns the expected latency; old measurements decay towards the median of the peers. */
    double expectedLatencyMicros(double peerMedianMicros, long nowMs) {
        if (mSamples == 0) {
            return mLatencyMicros > 0 ? mLatencyMicros : peerMedianMicros;
        }
        return peerMedianMicros + (mLatencyMicros - peerMedianMicros) * decayFactor(nowMs);
    }

    private double decayFactor(long nowMs) {
        return Math.pow(0.5, (double) (nowMs - mSampledMs) / SAMPLE_HALF_LIFE_MS);
    }

    /** Returns the time for which requests have been outstanding without any response. */
    long noResponseMs(long nowMs) {
        return mInFlight == 0 ? 0 : nowMs - mNoResponseSinceMs;
    }

    /** Returns the fraction of its normal traffic that the target should receive in slow start. */
    double slowStartShare(long nowMs, long slowStartMs) {
        double elapsedMs = Math.max(0, nowMs - mReturnedMs);
        return Math.min(1, Math.max(0.1, elapsedMs / slowStartMs));
    }
}
