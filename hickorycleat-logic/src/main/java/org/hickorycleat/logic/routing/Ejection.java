package org.hickorycleat.logic.routing;

/** Ejection state of one target: in use, ejected for a time, or probed before its return. */
final class Ejection {
    /** Time in use after which the count of ejections, and with it the doubling, starts again. */
    private static final long COUNT_RESET_AFTER_MS = 60_000;

    /** Prevents overflow of the shift; the configured maximum is reached long before. */
    private static final int MAXIMUM_DOUBLINGS = 20;

    private EjectionReason mReason = EjectionReason.NONE;
    private int mEjectionCount;
    private long mUntilMs;
    private long mEndedMs;
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
        if (!isEjected() && nowMs - mEndedMs >= COUNT_RESET_AFTER_MS) {
            mEjectionCount = 0;
        }
        mReason = reason;
        long doubled = settings.ejectionBaseMs() << Math.min(mEjectionCount, MAXIMUM_DOUBLINGS);
        mUntilMs = nowMs + Math.min(settings.ejectionMaximumMs(), doubled);
        mEjectionCount++;
        mSuccessfulProbes = 0;
        mProbeOutstanding = false;
    }

    void recordProbeStart() {
        mProbeOutstanding = true;
    }

    /** Ends a probe whose result shows nothing about the target; another one becomes due. */
    void recordInconclusiveProbe() {
        mProbeOutstanding = false;
    }

    /** Counts a successful probe and returns whether the target may return to use. */
    boolean recordSuccessfulProbe(int required) {
        mProbeOutstanding = false;
        mSuccessfulProbes++;
        return mSuccessfulProbes >= required;
    }

    void end(long nowMs) {
        mReason = EjectionReason.NONE;
        mProbeOutstanding = false;
        mEndedMs = nowMs;
    }
}
