package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds the jobs that the owner needs no longer: their final state is durable and published, and
 * none of their tasks may be on a worker.
 *
 * <p>Load: some 6 jobs a second for months. Without this, the memory of the owner grows with the
 * number of jobs that were ever accepted.
 */
final class EndedJobs {
    private final Set<TrackedJob> mEnding = new LinkedHashSet<>();

    /** Handles that a job has got a final state, which may not be durable yet. */
    void onFinal(TrackedJob job) {
        mEnding.add(job);
    }

    /**
     * Returns the jobs that have ended, and forgets them.
     *
     * @param isPublished returns whether all progress of a job is durable and its state published
     */
    List<TrackedJob> takeEnded(Predicate<TrackedJob> isPublished) {
        List<TrackedJob> ended = new ArrayList<>();
        for (TrackedJob job : mEnding) {
            if (isPublished.test(job) && !job.hasRuns()) {
                ended.add(job);
            }
        }
        ended.forEach(mEnding::remove);
        return ended;
    }
}
