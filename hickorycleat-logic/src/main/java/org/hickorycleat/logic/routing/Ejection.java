package org.hickorycleat.logic.routing;

/** Ejection of one target: none, for a time, or probing before full return. */
final class Ejection {
    /** Ejections are forgotten after the target was in use for this long. */
    private static final long FORGET_AFTER_MS = 60_000;

    /** Longest exponent of the doubling, far beyond any maximum. */
    private static final int MAXIMUM_DOUBLINGS = 20;

    private EjectionReason mReason = EjectionReason.NONE;
    private int mCount;
    private long mUntilMs;
    private long mReturnedMs;
    private int mSuccessfulProbes;
    private boolean mProbeOutstanding;

    EjectionReason reason() {
        return mReason;
    }

    boolean isEjected() {
        return mReason != EjectionReason.NONE;
    }

    long untilMs() {
        return mUntilMs;
    }

    boolean isProbeDue(long nowMs) {
        return isEjected() && nowMs >= mUntilMs && !mProbeOutstanding;
    }

    boolean isProbeOutstanding() {
        return mProbeOutstanding;
    }

    void eject(EjectionReason reason, RoutingSettings settings, long nowMs) {
        if (!isEjected() && nowMs - mReturnedMs >= FORGET_AFTER_MS) {
            mCount = 0;
        }
        mReason = reason;
        long doubled = settings.ejectionBaseMs() << Math.min(mCount, MAXIMUM_DOUBLINGS);
        mUntilMs = nowMs + Math.min(settings.ejectionMaximumMs(), doubled);
        mCount++;
        mSuccessfulProbes = 0;
        mProbeOutstanding = false;
    }

    void probeStarted() {
        mProbeOutstanding = true;
    }

    /** Ends a probe that says nothing about the target. */
    void probeInconclusive() {
        mProbeOutstanding = false;
    }

    /** Counts a successful probe and tells whether the target may return. */
    boolean probeSucceeded(int required) {
        mProbeOutstanding = false;
        mSuccessfulProbes++;
        return mSuccessfulProbes >= required;
    }

    void end(long nowMs) {
        mReason = EjectionReason.NONE;
        mProbeOutstanding = false;
        mReturnedMs = nowMs;
    }
}
