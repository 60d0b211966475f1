package org.hickorycleat.logic.retry;

import org.hickorycleat.model.message.InvokeResult;

/** What an attempt reports to once it was registered. */
interface AttemptOwner {
    /**
     * Makes the attempt the current one; false when it must not be made any more.
     *
     * <p>Called under the lock of the shard, so that no event about the attempt comes first.
     */
    boolean install(Attempt attempt);

    /** The agent answered an attempt; the attempt was removed. */
    void onAnswer(Attempt attempt, InvokeResult result);

    /** The agent confirmed that an attempt was not run and will not be; it was removed. */
    void onNotRun(Attempt attempt);

    /** The agent restarted while it had an attempt; the attempt was removed. */
    void onAgentLost(Attempt attempt);

    /** The connection of an attempt was lost; the attempt is still outstanding. */
    void onLinkLost(Attempt attempt);
}
