package org.hickorycleat.logic.admission;

/** Requests in flight of a class or team and decayed averages; guarded by the limiter's lock. */
final class Usage {
    private int mInFlight;
    private double mMeanInFlight;
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
    double meanInFlight(long nowMs) {
        advance(nowMs);
        return mMeanInFlight;
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

    void recordArrival(long nowMs) {
        advance(nowMs);
        mArrivals++;
    }

    void recordStart(long nowMs) {
        advance(nowMs);
        mInFlight++;
        mAdmitted++;
    }

    void recordEnd(long nowMs) {
        advance(nowMs);
        mInFlight--;
    }

    /** Returns whether no request is in flight and the arrivals have decayed to almost none. */
    boolean isIdle(long nowMs) {
        advance(nowMs);
        return mInFlight == 0 && mArrivals < 0.1;
    }

    private void advance(long nowMs) {
        double factor = ExponentialDecay.factor(nowMs - mUpdatedMs);
        mMeanInFlight = mInFlight + (mMeanInFlight - mInFlight) * factor;
        mArrivals *= factor;
        mAdmitted *= factor;
        mUpdatedMs = Math.max(mUpdatedMs, nowMs);
    }
}
