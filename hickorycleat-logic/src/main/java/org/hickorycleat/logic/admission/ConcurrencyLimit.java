package org.hickorycleat.logic.admission;

/** Requests that one entry may have in flight for a service; guarded by the limiter's lock. */
final class ConcurrencyLimit {
    private static final long ADAPTATION_INTERVAL_MS = 100;
    private static final double DECREASE = 0.95;
    private static final double INCREASE = 0.02;
    private static final double MINIMUM_FACTOR = 0.5;

    /** Requests spend time between entry and agent, where they use no slot. */
    private static final double MAXIMUM_FACTOR = 2;

    private final AdmissionSettings mSettings;
    private double mFactor = 1;
    private double mLimit = 1;
    private long mAdaptedMs = Long.MIN_VALUE / 2;
    private boolean mLimited;

    ConcurrencyLimit(AdmissionSettings settings) {
        mSettings = settings;
    }

    double value() {
        return mLimit;
    }

    /** Notes that the limit kept a request out. */
    void limited() {
        mLimited = true;
    }

    void update(ServiceSlots slots, int inFlight, long nowMs) {
        if (slots.slots() == 0) {
            mLimit = mSettings.limitWithoutTargets();
            return;
        }
        adapt(slots, nowMs);
        int takeable = inFlight + slots.freeSlots() / slots.liveEntries();
        int raw = Math.max(slots.share(), Math.min(slots.slots(), takeable));
        mLimit = Math.max(1, raw * mFactor);
    }

    private void adapt(ServiceSlots slots, long nowMs) {
        if (nowMs - mAdaptedMs < ADAPTATION_INTERVAL_MS) {
            return;
        }
        mAdaptedMs = nowMs;
        if (slots.queued() > mSettings.queuedPerSlot() * slots.slots()) {
            mFactor = Math.max(MINIMUM_FACTOR, mFactor * DECREASE);
        } else if (mLimited) {
            mFactor = Math.min(MAXIMUM_FACTOR, mFactor + INCREASE);
        } else {
            // Returns to neutral, so that the next flood does not start with an old factor.
            mFactor += Math.signum(1 - mFactor) * Math.min(INCREASE, Math.abs(1 - mFactor));
        }
        mLimited = false;
    }
}
