package org.hickorycleat.logic.admission;

/** Usage by one team within a class; guarded by the limiter's lock. */
final class TeamUsage {
    private final Usage mUsage;
    private int mWeight;
    private double mFairLimit = Double.POSITIVE_INFINITY;
    private double mDemand;

    TeamUsage(int weight, long nowMs) {
        mUsage = new Usage(nowMs);
        mWeight = weight;
    }

    Usage usage() {
        return mUsage;
    }

    int weight() {
        return mWeight;
    }

    double demand() {
        return mDemand;
    }

    /** Updates the weight and the estimated demand in concurrent requests. */
    void update(int weight, double demand) {
        mWeight = weight;
        mDemand = demand;
    }

    void setFairLimit(double fairLimit) {
        mFairLimit = fairLimit;
    }

    boolean isWithinFairLimit(long nowMs) {
        return BurstTolerance.allowsRequest(mUsage, mFairLimit, nowMs);
    }

    /** Returns whether the team demands at most its fair share while others demand more. */
    boolean isWithinFairShare() {
        return mFairLimit != Double.POSITIVE_INFINITY && mDemand <= mFairLimit;
    }
}
