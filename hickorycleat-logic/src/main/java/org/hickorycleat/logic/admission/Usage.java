package org.hickorycleat.logic.admission;

/** Requests in flight of a class or team, with decayed averages; guarded by the limiter's lock. */
final class Usage {
    private int mInFlight;
    private double mMean;
    private double mArrivals;
    private double mAdmitted;
    private long mUpdatedMs;

    Usage(long nowMs) {
        mUpdatedMs = nowMs;
    }

    int inFlight() {
        return mInFlight;
    }

    /** Returns the decayed average of the requests in flight. */
    double mean(long nowMs) {
        advance(nowMs);
        return mMean;
    }

    double arrivals(long nowMs) {
        advance(nowMs);
        return mArrivals;
    }

    /** Returns the decayed number of admitted requests. */
    double admitted(long nowMs) {
        advance(nowMs);
        return mAdmitted;
    }

    void arrived(long nowMs) {
        advance(nowMs);
        mArrivals++;
    }

    void started(long nowMs) {
        advance(nowMs);
        mInFlight++;
        mAdmitted++;
    }

    void ended(long nowMs) {
        advance(nowMs);
        mInFlight--;
    }

    /** Tells whether nothing worth keeping is left. */
    boolean isIdle(long nowMs) {
        advance(nowMs);
        return mInFlight == 0 && mArrivals < 0.1;
    }

    private void advance(long nowMs) {
        double factor = Decay.factor(nowMs - mUpdatedMs);
        mMean = mInFlight + (mMean - mInFlight) * factor;
        mArrivals *= factor;
        mAdmitted *= factor;
        mUpdatedMs = Math.max(mUpdatedMs, nowMs);
    }
}
