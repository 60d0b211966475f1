package org.hickorycleat.logic.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays jobs that come and end for a quarter of an hour while owners die in the midst of a
 * removal, entries restart or miss a part of the log, clocks differ and submissions are stored
 * again late. The promises: a job starts once, its final state is known for the promised time, and
 * in the end nothing is left of it.
 */
class PastJobRemovalPropertyTest {
    private static final long SEEDS = 200;
    private static final long STATUS_MS = 120_000;
    private static final long KNOWN_FOR_MS =
            STATUS_MS + PastJobRemover.LATE_REQUEST_MS + PastJobRemover.TOMBSTONE_MS;
    // Clocks of processes run at slightly different rates.
    private static final double CLOCK_ERROR = 0.02;
    private static final int ENTRIES = 3;
    private static final int BUSY_S = 900;
    private static final int QUIET_S = 900;

    private final SimulatedJobLog mLog = new SimulatedJobLog();
    private final Map<JobId, JobSubmission> mSubmissions = new HashMap<>();
    private final Map<JobId, Long> mEndedAtMs = new HashMap<>();
    private final Set<JobId> mStarted = new HashSet<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private Random mRandom = new Random(0);
    private long mNowMs = 1_000_000;
    private boolean mOwnersDie;
    private Entry mOwner = new Entry();

    /** An entry that reads the log with delays. */
    private final class Entry {
        private final double mRate = 1 + CLOCK_ERROR * (2 * mRandom.nextDouble() - 1);
        private final JobDirectory mDirectory = new JobDirectory(this::clockMs);
        private final PastJobRemover mRemover = new PastJobRemover(mDirectory, STATUS_MS);
        private int mOffset;

        Entry() {
            mOffset = mLog.endOffset();
            mLog.newest().forEach(mDirectory::apply);
            mDirectory.endFinalJobs();
        }

        long clockMs() {
            return Math.round(mNowMs * mRate);
        }

        void readUpTo(int offset) {
            for (; mOffset < offset; mOffset++) {
                mDirectory.apply(mLog.read(mOffset));
            }
            mDirectory.endFinalJobs();
        }

        void missRecords() {
            mOffset = mLog.endOffset();
            mDirectory.onReloadStarted();
            mLog.newest().forEach(mDirectory::apply);
            mDirectory.onReloaded();
            mDirectory.endFinalJobs();
        }
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void keepsPromisesWhileOwnersDieDuringRemovals(long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < ENTRIES; i++) {
            mEntries.add(new Entry());
        }
        mOwner = mEntries.get(0);
        for (int second = 0; second < BUSY_S + QUIET_S; second++) {
            mNowMs += 1_000;
            // Each restart of all entries starts the periods again, so it ends for the last check.
            mOwnersDie = second < BUSY_S;
            if (second < BUSY_S) {
                submit(second);
                repeatLate();
                strike();
            }
            schedule();
            mEntries.forEach(this::readSome);
            checkStates();
        }
        mEntries.forEach(entry -> entry.readUpTo(mLog.endOffset()));

        assertThat(mViolations).isEmpty();
        assertThat(mLog.newest()).isEmpty();
        for (Entry entry : mEntries) {
            assertThat(entry.mDirectory.jobCount()).isZero();
            assertThat(entry.mDirectory.pastJobCount()).isZero();
        }
    }

    private void submit(int number) {
        JobId id = new JobId(String.format("%016x", number));
        int tasks = mRandom.nextInt(8) == 0 ? 150 : 2;
        mSubmissions.put(id, submission(id, tasks));
        mLog.append(new JobRecord.Submitted(submissionOf(id)));
        if (mRandom.nextInt(5) == 0) {
            mLog.append(new JobRecord.Cancelled(id));
        }
    }

    private JobSubmission submissionOf(JobId id) {
        return Objects.requireNonNull(mSubmissions.get(id));
    }

    static JobSubmission submission(JobId id, int tasks) {
        StepSpecification step =
                new StepSpecification(
                        tasks,
                        new Resources(40, 1, 0),
                        900,
                        List.of(),
                        true,
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        false,
                        false,
                        "",
                        0,
                        false,
                        -1);
        return new JobSubmission(id, new QueueName("q"), "text", List.of(step), 0, 0, 0, 7);
    }

    /** Stores a submission again, as an entry does that does not know the job. */
    private void repeatLate() {
        List<JobId> jobs = new ArrayList<>(mSubmissions.keySet());
        JobId id = jobs.get(mRandom.nextInt(jobs.size()));
        long endedAtMs = mEndedAtMs.getOrDefault(id, mNowMs);
        if (mNowMs - endedAtMs < KNOWN_FOR_MS * (1 - 2 * CLOCK_ERROR)) {
            mLog.append(new JobRecord.Submitted(submissionOf(id)));
        }
    }

    private void strike() {
        int entry = mRandom.nextInt(ENTRIES);
        switch (mRandom.nextInt(60)) {
            case 0 -> mOwner = mEntries.get(entry);
            case 1 -> restart(entry);
            case 2 -> mEntries.get(entry).missRecords();
            default -> {}
        }
    }

    private void restart(int entry) {
        boolean owner = mEntries.get(entry) == mOwner;
        mEntries.set(entry, new Entry());
        if (owner) {
            mOwner = mEntries.get(mRandom.nextInt(ENTRIES));
        }
    }

    // A claimant reads the log to its end before it schedules.
    private void schedule() {
        mOwner.readUpTo(mLog.endOffset());
        for (DurableJob job : mOwner.mDirectory.jobs()) {
            if (job.submission().isPresent() && !job.state().isFinal()) {
                start(job);
            }
            boolean ends = job.state() == JobState.RUNNING || job.isCancelled();
            if (ends && mRandom.nextInt(5) == 0) {
                end(job);
            }
        }
        List<JobRecord> removals = mOwner.mRemover.takeDue(mOwner.clockMs(), 200);
        boolean dies = mOwnersDie && !removals.isEmpty() && mRandom.nextInt(4) == 0;
        int appended = dies ? mRandom.nextInt(removals.size() + 1) : removals.size();
        removals.subList(0, appended).forEach(mLog::append);
        if (dies) {
            restart(mEntries.indexOf(mOwner));
        }
    }

    private void start(DurableJob job) {
        if (mEndedAtMs.containsKey(job.id())) {
            mViolations.add(job.id() + " started after its end");
        }
        if (mStarted.add(job.id())) {
            append(job, JobState.RUNNING, TaskStatus.ACTIVE);
        }
    }

    private void end(DurableJob job) {
        boolean failed = mRandom.nextInt(10) == 0;
        JobState state =
                job.isCancelled()
                        ? JobState.CANCELLED
                        : failed ? JobState.FAILED : JobState.COMPLETED;
        mEndedAtMs.put(job.id(), mNowMs);
        append(job, state, TaskStatus.DONE);
    }

    private void append(DurableJob job, JobState state, TaskStatus status) {
        ProgressPartitioner partitioner = new ProgressPartitioner(262_144);
        List<TaskProgress> tasks = new ArrayList<>();
        for (int i = 0; i < submissionOf(job.id()).taskCount(); i++) {
            tasks.add(
                    new TaskProgress(
                            0,
                            0,
                            i,
                            status,
                            1,
                            List.of(),
                            Optional.empty(),
                            Optional.empty(),
                            Optional.empty()));
        }
        partitioner
                .changedParts(job.submission(), new JobProgress(job.id(), state, tasks))
                .forEach(mLog::append);
    }

    private void readSome(Entry entry) {
        int unread = mLog.endOffset() - entry.mOffset;
        entry.readUpTo(entry.mOffset + mRandom.nextInt(unread + 1));
    }

    private void checkStates() {
        Entry entry = mEntries.get(mRandom.nextInt(ENTRIES));
        entry.readUpTo(mLog.endOffset());
        mEndedAtMs.forEach(
                (id, endedAtMs) -> {
                    boolean promised = mNowMs - endedAtMs <= STATUS_MS;
                    Optional<JobState> state = entry.mDirectory.jobState(id);
                    if (promised && state.filter(JobState::isFinal).isEmpty()) {
                        mViolations.add(id + " is " + state + " soon after its end");
                    }
                });
    }
}
