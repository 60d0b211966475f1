package org.hickorycleat.logic.admission;

/** Limit of requests in flight from one entry to a service; guarded by the limiter's lock. */
final class ConcurrencyLimit {
    private static final long ADAPTATION_INTERVAL_MS = 100;
    private static final double DECREASE_FACTOR = 0.95;
    private static final double INCREASE_STEP = 0.02;
    private static final double MINIMUM_FACTOR = 0.5;

    /** Above 1, because requests on the way between entry and agent use no slot. */
    private static final double MAXIMUM_FACTOR = 2;

    private final AdmissionSettings mSettings;
    private double mFactor = 1;
    private double mLimit = 1;
    private long mAdaptedMs = Long.MIN_VALUE / 2;
    private boolean mRejectionSeen;

    ConcurrencyLimit(AdmissionSettings settings) {
        mSettings = settings;
    }

    double value() {
        return mLimit;
    }

    /** Records that a request was rejected because of the limit. */
    void recordRejection() {
        mRejectionSeen = true;
    }

    void update(ServiceCapacity capacity, int inFlight, long nowMs) {
        if (capacity.slots() == 0) {
            mLimit = mSettings.limitWithoutTargets();
            return;
        }
        adapt(capacity, nowMs);
        int attainable = inFlight + capacity.freeSlots() / capacity.liveEntries();
        int unadjusted = Math.max(capacity.share(), Math.min(capacity.slots(), attainable));
        mLimit = Math.max(1, unadjusted * mFactor);
    }

    private void adapt(ServiceCapacity capacity, long nowMs) {
        if (nowMs - mAdaptedMs < ADAPTATION_INTERVAL_MS) {
            return;
        }
        mAdaptedMs = nowMs;
        if (capacity.queued() > mSettings.queuedPerSlot() * capacity.slots()) {
            mFactor = Math.max(MINIMUM_FACTOR, mFactor * DECREASE_FACTOR);
        } else if (mRejectionSeen) {
            mFactor = Math.min(MAXIMUM_FACTOR, mFactor + INCREASE_STEP);
        } else {
            // Returns to 1, so that the next overload does not start with an outdated factor.
            mFactor += Math.signum(1 - mFactor) * Math.min(INCREASE_STEP, Math.abs(1 - mFactor));
        }
        mRejectionSeen = false;
    }
}
