package org.hickorycleat.logic.directory;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.hickorycleat.model.job.JobId;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the past jobs in the order in which they are due for removal. The caller provides mutual
 * exclusion.
 */
final class PastJobs {
    private final Map<JobId, PastJob> mRetained = new LinkedHashMap<>();
    private final Map<JobId, PastJob> mTombstones = new LinkedHashMap<>();

    int size() {
        return mRetained.size() + mTombstones.size();
    }

    int tombstones() {
        return mTombstones.size();
    }

    Optional<PastJob> find(JobId id) {
        return Optional.ofNullable(get(id));
    }

    private @Nullable PastJob get(JobId id) {
        PastJob retained = mRetained.get(id);
        return retained != null ? retained : mTombstones.get(id);
    }

    void add(JobId id, PastJob job) {
        (job.submissionStored() ? mRetained : mTombstones).put(id, job);
    }

    void remove(JobId id) {
        mRetained.remove(id);
        mTombstones.remove(id);
    }

    /** Handles that the submission was stored again or removed; the period of the job restarts. */
    void onSubmission(JobId id, boolean stored, long nowMs) {
        PastJob job = get(id);
        if (job != null && job.submissionStored() != stored) {
            remove(id);
            add(id, job.withSubmission(stored, nowMs));
        }
    }

    /** Changes a past job without effect on when it is due. */
    void update(JobId id, UnaryOperator<PastJob> change) {
        mRetained.computeIfPresent(id, (key, job) -> change.apply(job));
        mTombstones.computeIfPresent(id, (key, job) -> change.apply(job));
    }

    Set<JobId> retainedIds() {
        return mRetained.keySet();
    }

    Set<JobId> tombstoneIds() {
        return mTombstones.keySet();
    }

    /** Returns the jobs with a stored submission since the given time or longer, oldest first. */
    List<Map.Entry<JobId, PastJob>> retainedSince(long sinceMs, int maximum) {
        return since(mRetained, sinceMs, maximum);
    }

    /** Returns the tombstones that are as old as the given time or older, oldest first. */
    List<Map.Entry<JobId, PastJob>> tombstonesSince(long sinceMs, int maximum) {
        return since(mTombstones, sinceMs, maximum);
    }

    private static List<Map.Entry<JobId, PastJob>> since(
            Map<JobId, PastJob> jobs, long sinceMs, int maximum) {
        List<Map.Entry<JobId, PastJob>> due = new ArrayList<>();
        for (Map.Entry<JobId, PastJob> job : jobs.entrySet()) {
            if (due.size() >= maximum || job.getValue().sinceMs() > sinceMs) {
                break;
            }
            due.add(Map.entry(job.getKey(), job.getValue()));
        }
        return due;
    }
}
