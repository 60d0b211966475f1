package org.hickorycleat.logic.supervision;

/**
 * Decides which listing of a worker is the newest: responses on different connections may overtake
 * each other, and a long poll may be made after a listing that was requested later.
 */
final class ListingOrder {
    private long mAppliedListings;
    private long mNewestClockMs = Long.MIN_VALUE;

    /** Returns the position of a request that is sent now. */
    long position() {
        return mAppliedListings;
    }

    /**
     * Returns whether a listing was certainly made after every listing applied so far: either its
     * clock is higher, or it was requested after the last one had arrived.
     *
     * @param position position of its request
     * @param clockMs clock of the worker at the time of the listing, in milliseconds
     */
    boolean isNewest(long position, long clockMs) {
        return position == mAppliedListings || clockMs > mNewestClockMs;
    }

    /** Records that a listing is applied. */
    void onApplied(long clockMs) {
        mAppliedListings++;
        mNewestClockMs = clockMs;
    }

    /** Handles a new incarnation of the worker, whose clock starts again. */
    void onNewIncarnation() {
        mNewestClockMs = Long.MIN_VALUE;
    }

    long newestClockMs() {
        return mNewestClockMs;
    }
}
