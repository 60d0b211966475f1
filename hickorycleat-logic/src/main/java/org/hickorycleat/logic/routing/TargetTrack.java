package org.hickorycleat.logic.routing;

import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.model.identifier.Incarnation;

/**
 * What an entry learned of one incarnation of a target from its own requests; guarded by the lock
 * of its shard.
 */
final class TargetTrack {
    /** Weight of the newest sample in the moving averages. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /** Half-life of the load that other entries caused, as last reported. */
    private static final double LOAD_HALF_LIFE_MS = 500;

    /**
     * Half-life of measured latency and error rate when no new answer arrives; without it a target
     * that failed once would be avoided for good at low load.
     */
    private static final double SAMPLE_HALF_LIFE_MS = 5_000;

    private final Incarnation mIncarnation;
    private final Ejection mEjection = new Ejection();
    private final RecentPeak mPeakInFlight = new RecentPeak();
    private int mInFlight;
    private long mLoadMs;
    private int mOthersInFlight;
    private double mLatencyMicros;
    private double mErrorRate;
    private int mSamples;
    private long mSampledMs;
    private long mWaitingSinceMs;
    private long mReturnedMs;

    TargetTrack(TargetView view) {
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
        return mErrorRate * fading(nowMs);
    }

    double latencyMicros() {
        return mLatencyMicros;
    }

    void start(long nowMs) {
        if (mInFlight == 0) {
            mWaitingSinceMs = nowMs;
        }
        mInFlight++;
        mPeakInFlight.record(mInFlight, nowMs);
    }

    void end() {
        mInFlight--;
    }

    /**
     * Takes in a load signal: what exceeds the own requests is due to others.
     *
     * <p>The signal may be a second old, so it is compared with the recent peak of the own
     * requests: compared with the current number, own requests that have ended would count as those
     * of others, and the entry would alternate between targets.
     */
    void observe(TargetView view, long nowMs) {
        mReturnedMs = Math.max(mReturnedMs, view.upSinceMs());
        if (view.loadMs() <= mLoadMs) {
            return;
        }
        mLoadMs = view.loadMs();
        int reported = view.load().inFlight() + view.load().queued();
        mOthersInFlight = Math.max(0, reported - mPeakInFlight.value(nowMs));
    }

    void answered(AnswerKind kind, long latencyMicros, long nowMs) {
        if (kind == AnswerKind.NEUTRAL) {
            return;
        }
        boolean success = kind == AnswerKind.SUCCESS;
        if (kind != AnswerKind.NO_ANSWER) {
            mWaitingSinceMs = nowMs;
        }
        // Larger weights at first, so that targets with few and many answers can be compared.
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / (mSamples + 2));
        mErrorRate += weight * ((success ? 0 : 1) - mErrorRate);
        // A fast failure must not make the target look fast.
        double measured = (double) latencyMicros;
        double sample = success ? measured : Math.max(measured, mLatencyMicros);
        mLatencyMicros =
                mSamples == 0 ? sample : mLatencyMicros + SAMPLE_WEIGHT * (sample - mLatencyMicros);
        mSamples++;
        mSampledMs = nowMs;
    }

    /** Forgets what led to an ejection, so that old samples do not eject the target again. */
    void returned(double latencyMicros, long nowMs) {
        mErrorRate = 0;
        mLatencyMicros = latencyMicros;
        mSamples = 0;
        mReturnedMs = nowMs;
    }

    /** Requests at the target: own ones, and those of others discounted by the signal's age. */
    double load(long nowMs) {
        double age = Math.max(0, nowMs - mLoadMs);
        return mInFlight + mOthersInFlight * Math.pow(0.5, age / LOAD_HALF_LIFE_MS);
    }

    /** Latency expected now; old measurements fade towards the median of the peers. */
    double expectedLatencyMicros(double peerMedianMicros, long nowMs) {
        if (mSamples == 0) {
            return mLatencyMicros > 0 ? mLatencyMicros : peerMedianMicros;
        }
        return peerMedianMicros + (mLatencyMicros - peerMedianMicros) * fading(nowMs);
    }

    private double fading(long nowMs) {
        return Math.pow(0.5, (double) (nowMs - mSampledMs) / SAMPLE_HALF_LIFE_MS);
    }

    /** Time for which requests have been outstanding without any answer. */
    long waitingMs(long nowMs) {
        return mInFlight == 0 ? 0 : nowMs - mWaitingSinceMs;
    }

    /** Share of its normal traffic that the target should receive. */
    double ramp(long nowMs, long slowStartMs) {
        double elapsed = Math.max(0, nowMs - mReturnedMs);
        return Math.min(1, Math.max(0.1, elapsed / slowStartMs));
    }
}
