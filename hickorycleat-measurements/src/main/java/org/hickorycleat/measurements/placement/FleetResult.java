package org.hickorycleat.measurements.placement;

import java.util.ArrayList;
import java.util.List;

/** Counters of one simulation run. */
final class FleetResult {
    int mCompleted;
    int mOnTime;
    int mWithDeadline;
    int mRejected;
    int mEvictions;
    int mThrottles;
    long mTardinessMs;
    double mLostProgressMs;
    double mCompletedCoreMs;
    long mLastEndMs;
    int mUnfinished;
    final List<Long> mUrgentWaitsMs = new ArrayList<>();

    double onTimeShare() {
        return mWithDeadline == 0 ? 1 : (double) mOnTime / mWithDeadline;
    }

    double coreHours() {
        return mCompletedCoreMs / 3_600_000;
    }
}
