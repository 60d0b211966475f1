package org.hickorycleat.logic.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.junit.jupiter.api.Test;

class PastJobRemoverTest {
    private static final long STATUS_MS = 120_000;
    private static final long RETAINED_MS = STATUS_MS + PastJobRemover.LATE_REQUEST_MS;
    private static final JobId JOB = new JobId("00000000000000aa");

    private long mNowMs = 5_000_000;
    private final JobDirectory mDirectory = new JobDirectory(() -> mNowMs);
    private final PastJobRemover mRemover = new PastJobRemover(mDirectory, STATUS_MS);

    private static JobRecord ended(JobId job) {
        return new JobRecord.Progressed(new JobProgress(job, JobState.CANCELLED, List.of()));
    }

    private static JobRecord removed(JobRecord.Kind kind, JobId job) {
        return new JobRecord.Removed(kind, job, 0);
    }

    private void endJob(JobId job) {
        mDirectory.apply(new JobRecord.Submitted(PastJobRemovalPropertyTest.submission(job, 2)));
        mDirectory.apply(new JobRecord.Cancelled(job));
        mDirectory.apply(ended(job));
    }

    private List<JobRecord> takeAndRead() {
        List<JobRecord> records = mRemover.takeDue(mNowMs, 200);
        records.forEach(mDirectory::apply);
        return records;
    }

    @Test
    void removesSubmissionBeforeFinalState() {
        endJob(JOB);
        mNowMs += RETAINED_MS - 1;
        assertThat(takeAndRead()).isEmpty();
        mNowMs += 1;
        assertThat(takeAndRead())
                .containsExactly(
                        ended(JOB),
                        removed(JobRecord.Kind.CANCELLATION, JOB),
                        removed(JobRecord.Kind.SUBMISSION, JOB));
        assertThat(mDirectory.jobState(JOB)).contains(JobState.CANCELLED);

        mNowMs += PastJobRemover.TOMBSTONE_MS;
        assertThat(takeAndRead()).last().isEqualTo(removed(JobRecord.Kind.PROGRESS, JOB));
        assertThat(mDirectory.jobState(JOB)).isEmpty();
        assertThat(mDirectory.pastJobCount()).isZero();
    }

    @Test
    void removesNothingWithoutRetentionSetting() {
        PastJobRemover remover = new PastJobRemover(mDirectory, 0);
        endJob(JOB);
        mNowMs += 100 * RETAINED_MS;
        assertThat(remover.takeDue(mNowMs, 200)).isEmpty();
        assertThat(remover.isOverdue(mNowMs)).isFalse();
    }

    /** The appended batch is lost with its owner, or its reader is late. */
    @Test
    void waitsUntilBatchWasRead() {
        endJob(JOB);
        mNowMs += RETAINED_MS;
        List<JobRecord> first = mRemover.takeDue(mNowMs, 200);
        mNowMs += PastJobRemover.BATCH_INTERVAL_MS;
        assertThat(mRemover.takeDue(mNowMs, 200)).isEmpty();
        mNowMs += 2 * PastJobRemover.BATCH_INTERVAL_MS;
        assertThat(mRemover.takeDue(mNowMs, 200)).isEqualTo(first);
    }

    @Test
    void boundsBatchesAndHastensWhileMoreAreDue() {
        for (int i = 0; i < 100; i++) {
            endJob(new JobId(String.format("%016x", i)));
        }
        mNowMs += RETAINED_MS;
        assertThat(takeAndRead()).hasSize(3 * PastJobRemover.MAXIMUM_JOBS);
        assertThat(takeAndRead()).isEmpty();
        mNowMs += PastJobRemover.BACKLOG_INTERVAL_MS;
        assertThat(takeAndRead()).hasSize(3 * (100 - PastJobRemover.MAXIMUM_JOBS));
    }

    @Test
    void makesAnAppendOfItsOwnOnlyIfNoProgressCame() {
        endJob(JOB);
        mNowMs += RETAINED_MS;
        assertThat(mRemover.isOverdue(mNowMs)).isFalse();
        mNowMs += PastJobRemover.IDLE_DELAY_MS;
        assertThat(mRemover.isOverdue(mNowMs)).isTrue();
    }

    /** Pattern of an entry that runs for days: 6 jobs a second, all of which end. */
    @Test
    void keepsAsManyObjectsAsAreRecent() {
        int highest = 0;
        for (int second = 0; second < 3_600; second++) {
            mNowMs += 1_000;
            for (int i = 0; i < 6; i++) {
                endJob(new JobId(String.format("%016x", second * 6 + i)));
            }
            takeAndRead();
            highest = Math.max(highest, mDirectory.pastJobCount());
        }
        long knownForS = (RETAINED_MS + PastJobRemover.TOMBSTONE_MS) / 1_000;
        // Batches are due every 10 s, in two steps.
        assertThat(highest).isLessThanOrEqualTo((int) (6 * (knownForS + 30)));
        assertThat(mDirectory.jobCount()).isZero();
    }
}
