package org.hickorycleat.logic.directory;

import org.hickorycleat.model.job.JobState;

/**
 * What is kept of a job whose end is durable and of which nothing can run any more.
 *
 * @param state final state of the job
 * @param submissionStored whether the store may have its submission; without it, the record of its
 *     final state is a tombstone
 * @param cancellationStored whether the store may have its cancellation
 * @param lastPart highest number of a part of its progress in the store
 * @param sinceMs time since which the submission has been stored or removed, as far as this process
 *     has seen, by its steady clock, in milliseconds
 */
record PastJob(
        JobState state,
        boolean submissionStored,
        boolean cancellationStored,
        int lastPart,
        long sinceMs) {
    PastJob withSubmission(boolean stored, long nowMs) {
        return new PastJob(state, stored, cancellationStored, lastPart, nowMs);
    }

    PastJob withCancellation() {
        return new PastJob(state, submissionStored, true, lastPart, sinceMs);
    }

    PastJob withPart(int part) {
        return new PastJob(
                state, submissionStored, cancellationStored, Math.max(lastPart, part), sinceMs);
    }
}
