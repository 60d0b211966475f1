package org.hickorycleat.logic.retry;

import org.hickorycleat.model.message.InvokeResult;

/** Receives the events of a registered attempt. */
interface AttemptOwner {
    /**
     * Makes the attempt the current one; returns false if it must not be made any more.
     *
     * <p>Called under the lock of the shard, so that no event of the attempt precedes this call.
     */
    boolean makeCurrent(Attempt attempt);

    /** Handles the response of the agent; the attempt was removed. */
    void onResponse(Attempt attempt, InvokeResult result);

    /** Handles the confirmation that an attempt did not run and never will; it was removed. */
    void onNotRun(Attempt attempt);

    /** Handles a restart of the agent during an attempt; the attempt was removed. */
    void onAgentLost(Attempt attempt);

    /** Handles the loss of the connection; the attempt is still outstanding. */
    void onLinkLost(Attempt attempt);
}
