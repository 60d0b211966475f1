package org.hickorycleat.measurements.placement;

import java.util.ArrayList;
import java.util.List;

/** What a run of the event loop counted. */
final class FleetResult {
    int mDone;
    int mOnTime;
    int mWithDeadline;
    int mRejected;
    int mEvictions;
    int mThrottles;
    long mTardinessMs;
    double mLostMs;
    double mWorkDoneCoreMs;
    long mLastEndMs;
    int mUnfinished;
    final List<Long> mUrgentWaitsMs = new ArrayList<>();

    double onTimeShare() {
        return mWithDeadline == 0 ? 1 : (double) mOnTime / mWithDeadline;
    }

    double coreHours() {
        return mWorkDoneCoreMs / 3_600_000;
    }
}
