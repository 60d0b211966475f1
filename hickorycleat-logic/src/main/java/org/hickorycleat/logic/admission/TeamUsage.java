package org.hickorycleat.logic.admission;

/** A team within a class; guarded by the limiter's lock. */
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

    /** Sets the weight and the estimated number of requests it would have in flight. */
    void update(int weight, double demand) {
        mWeight = weight;
        mDemand = demand;
    }

    void setFairLimit(double fairLimit) {
        mFairLimit = fairLimit;
    }

    boolean isWithinFairLimit(long nowMs) {
        return Burst.fits(mUsage, mFairLimit, nowMs);
    }

    /** Tells whether the team asks for less than its fair share while others ask for more. */
    boolean isEntitled() {
        return mFairLimit != Double.POSITIVE_INFINITY && mDemand <= mFairLimit;
    }
}
