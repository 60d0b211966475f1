package org.hickorycleat.model.job;

/**
 * Work that waits for workers ahead of a new job of a queue, and the rate at which it drains.
 *
 * @param waitingWork estimated work that no worker runs yet, in thousandths of a processor times
 *     milliseconds
 * @param drainMilli estimated work that completes in a millisecond, in the same unit; 0 if unknown
 * @param runTimeRatioPercent ratio of actual to estimated run times of the queue, in percent
 */
public record QueueBacklog(
        QueueName queue, long waitingWork, long drainMilli, int runTimeRatioPercent) {
    /** Returns the expected time until a new job of the queue starts, in milliseconds. */
    public long waitMs() {
        return drainMilli <= 0 ? 0 : waitingWork / drainMilli;
    }
}
