package org.hickorycleat.logic.supervision;

import org.hickorycleat.model.message.StartRun;

/** A start that has been ordered and does not appear in the lists of the worker yet. */
final class PendingRun {
    private final StartRun mOrder;
    private long mToken;
    private boolean mDoubtful;

    PendingRun(StartRun order) {
        mOrder = order;
    }

    StartRun order() {
        return mOrder;
    }

    /** The order was sent with a fencing token. */
    void onSent(long token) {
        mToken = token;
        mDoubtful = false;
    }

    /** No answer came: the order may be carried out until a higher token is in force. */
    void onUnanswered() {
        mDoubtful = true;
    }

    /** Tells whether a listing under the given token proves that the run will never start. */
    boolean isRuledOutBy(long listingToken) {
        return mDoubtful && listingToken > mToken;
    }
}
