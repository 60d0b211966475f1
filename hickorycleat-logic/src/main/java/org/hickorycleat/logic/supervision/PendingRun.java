package org.hickorycleat.logic.supervision;

import org.hickorycleat.model.message.StartRun;

/** Tracks a run whose start was commanded and that the worker has not listed yet. */
final class PendingRun {
    private final StartRun mCommand;
    private long mToken;
    private boolean mOutcomeUnknown;

    PendingRun(StartRun command) {
        mCommand = command;
    }

    StartRun command() {
        return mCommand;
    }

    /** Records that the command was sent under a fencing token. */
    void onSent(long token) {
        mToken = token;
        mOutcomeUnknown = false;
    }

    /**
     * Records that no response arrived: the command may still be executed until the worker has seen
     * a higher token.
     */
    void onNoResponse() {
        mOutcomeUnknown = true;
    }

    /**
     * Returns whether a listing under the given token that omits the run proves that it will never
     * start.
     */
    boolean isRuledOutBy(long listingToken) {
        return mOutcomeUnknown && listingToken > mToken;
    }
}
