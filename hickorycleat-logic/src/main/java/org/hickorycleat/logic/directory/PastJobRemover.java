package org.hickorycleat.logic.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;

/**
 * Decides when the owner removes the records of which past jobs from the store.
 *
 * <p>Load: some 6 jobs a second for months, 340 a second at peak, with 2 KB of records each. Few
 * bytes of removals travel with the progress that the owner appends anyway.
 *
 * <p>A job is removed in two steps. First its progress is replaced by its final state alone, then
 * its cancellation and its submission are removed, in this order; the final state remains as a
 * tombstone, so that a submission that is stored late does not start the job. Then the tombstone is
 * removed. A prefix of these records leaves no submission without the final state.
 */
public final class PastJobRemover {
    /**
     * Time for which a job is kept beyond the promised time, in milliseconds: callers repeat a
     * request, and the store executes a call, seconds after its response was lost.
     */
    static final long LATE_REQUEST_MS = 60_000;

    /** Time for which a tombstone is kept, in milliseconds; as for late requests, and doubled. */
    static final long TOMBSTONE_MS = 120_000;

    /** Time between two batches, in milliseconds. */
    static final long BATCH_INTERVAL_MS = 10_000;

    /** Time between two batches while more jobs are due, in milliseconds. */
    static final long BACKLOG_INTERVAL_MS = 1_000;

    /** Time for which a batch waits for progress to travel with, in milliseconds. */
    static final long IDLE_DELAY_MS = 5_000;

    /** Time after which a batch that was not read back is repeated, in milliseconds. */
    private static final long READ_BACK_TIMEOUT_MS = 30_000;

    /** Maximum number of jobs of one batch. */
    static final int MAXIMUM_JOBS = 64;

    /** Records of a job without parts: its final state, its cancellation and its submission. */
    private static final int RECORDS_PER_JOB = 3;

    private final JobDirectory mDirectory;
    private final long mRetentionMs;
    private final List<Map.Entry<JobId, PastJob>> mOutstanding = new ArrayList<>();
    private long mBatchAtMs = Long.MIN_VALUE / 2;
    private boolean mHasBacklog;

    /**
     * Creates a remover.
     *
     * @param statusRetentionMs time for which the state of a past job must be known, in
     *     milliseconds; nothing is removed if it is 0
     */
    public PastJobRemover(JobDirectory directory, long statusRetentionMs) {
        mDirectory = directory;
        mRetentionMs = statusRetentionMs;
    }

    /** Returns whether a batch has waited for progress to travel with for long enough. */
    public synchronized boolean isOverdue(long nowMs) {
        return isDue(nowMs - IDLE_DELAY_MS)
                && !mDirectory.removable(nowMs - IDLE_DELAY_MS, mRetentionMs, 1).isEmpty();
    }

    /**
     * Returns the records of the next batch, at most the given number, in the order in which they
     * must be appended; none if no batch is due. The next batch waits until this one was read.
     */
    public synchronized List<JobRecord> takeDue(long nowMs, int maximumRecords) {
        int maximumJobs = Math.min(MAXIMUM_JOBS, maximumRecords / RECORDS_PER_JOB);
        if (maximumJobs < 1 || !isDue(nowMs)) {
            return List.of();
        }
        List<JobRecord> records = new ArrayList<>();
        mOutstanding.clear();
        List<Map.Entry<JobId, PastJob>> due =
                mDirectory.removable(nowMs, mRetentionMs, maximumJobs);
        for (Map.Entry<JobId, PastJob> job : due) {
            records.addAll(records(job.getKey(), job.getValue()));
            mOutstanding.add(job);
            if (records.size() + RECORDS_PER_JOB > maximumRecords) {
                break;
            }
        }
        if (!due.isEmpty()) {
            mBatchAtMs = nowMs;
            mHasBacklog = mOutstanding.size() == maximumJobs || mOutstanding.size() < due.size();
        }
        return records;
    }

    private boolean isDue(long nowMs) {
        long intervalMs = mHasBacklog ? BACKLOG_INTERVAL_MS : BATCH_INTERVAL_MS;
        if (mRetentionMs <= 0 || nowMs - mBatchAtMs < intervalMs) {
            return false;
        }
        mOutstanding.removeIf(job -> !mDirectory.isUnchanged(job.getKey(), job.getValue()));
        return mOutstanding.isEmpty() || nowMs - mBatchAtMs >= READ_BACK_TIMEOUT_MS;
    }

    private static List<JobRecord> records(JobId id, PastJob job) {
        List<JobRecord> records = new ArrayList<>();
        if (job.submissionStored()) {
            records.add(new JobRecord.Progressed(new JobProgress(id, job.state(), List.of())));
        }
        for (int part = 1; part <= job.lastPart(); part++) {
            records.add(new JobRecord.Removed(JobRecord.Kind.PROGRESS_PART, id, part));
        }
        if (job.cancellationStored()) {
            records.add(new JobRecord.Removed(JobRecord.Kind.CANCELLATION, id, 0));
        }
        JobRecord.Kind last =
                job.submissionStored() ? JobRecord.Kind.SUBMISSION : JobRecord.Kind.PROGRESS;
        records.add(new JobRecord.Removed(last, id, 0));
        return records;
    }
}
