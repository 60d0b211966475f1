package org.hickorycleat.logic.supervision;

/**
 * Acknowledges durable ends to the worker.
 *
 * <p>An acknowledgement names no incarnation, so a worker that has restarted under the same ID
 * would remove its own first ends. It is therefore sent only after a response of the current
 * incarnation, and only until the worker has received it.
 */
final class EndAcknowledgement {
    /** Acknowledges no end, because the numbers of ends start at 1. */
    private static final long NONE = 0;

    private long mDurableEndNumber;
    private long mReceivedEndNumber;
    private boolean mResponding;

    /** Returns the number up to which the ends of the incarnation are durable. */
    long durableEndNumber() {
        return mDurableEndNumber;
    }

    /**
     * Returns whether the incarnation has responded to the last listing, as far as that is known.
     */
    boolean isResponding() {
        return mResponding;
    }

    /** Returns the number to send with the next listing. */
    long endNumberToSend() {
        return mResponding && mReceivedEndNumber < mDurableEndNumber ? mDurableEndNumber : NONE;
    }

    /** Records that ends are durable; returns whether their number is new. */
    boolean onDurable(long endNumber) {
        if (endNumber <= mDurableEndNumber) {
            return false;
        }
        mDurableEndNumber = endNumber;
        return true;
    }

    /** Handles the newest listing of the incarnation, to a request with the given number. */
    void onListed(long sentEndNumber) {
        mResponding = true;
        mReceivedEndNumber = Math.max(mReceivedEndNumber, sentEndNumber);
    }

    /**
     * Handles a listing without a response or of a later incarnation: the worker may have
     * restarted.
     */
    void onIncarnationUncertain() {
        mResponding = false;
    }

    /** Handles a new incarnation of the worker, whose ends start again. */
    void onNewIncarnation() {
        mDurableEndNumber = NONE;
        mReceivedEndNumber = NONE;
        mResponding = true;
    }
}
