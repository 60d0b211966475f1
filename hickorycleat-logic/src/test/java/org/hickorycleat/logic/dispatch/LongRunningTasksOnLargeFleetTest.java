package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorycleat.logic.election.LeaseAuthority;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.StopRun;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Long-running tasks beside batch tasks on a fleet of many workers that fail together. */
class LongRunningTasksOnLargeFleetTest {
    private static final int WORKERS = 71;
    private static final int LOST_WORKERS = 12;
    private static final int LONG_RUNNING_JOBS = 20;
    private static final int TASKS_OF_JOB = 14;
    private static final int BATCH_JOBS = 30;
    private static final int REPORT_INTERVAL_MS = 500;

    /** Time after which a lease that was just extended has certainly expired, in milliseconds. */
    private static final int LEASE_EXPIRY_MS = DispatchSettings.of(6_000).certainExpiryMs();

    private final Map<JobId, JobSubmission> mSubmissions = new LinkedHashMap<>();
    private final Set<JobId> mLongRunningJobs = new HashSet<>();
    private final List<FleetWorker> mWorkers = new ArrayList<>();
    private DispatchFixture mOwner = new DispatchFixture();
    private int mHandledStarts;
    private int mHandledStops;

    /** A worker that executes every command of the owner. */
    private static final class FleetWorker {
        private final int mNumber;
        private final Set<RunId> mRuns = new HashSet<>();
        private long mStartedAtMs = 1;
        private long mSession;
        private long mLastCommand;
        private int mPercent;

        FleetWorker(int number) {
            mNumber = number;
        }

        void losePower() {
            mRuns.clear();
            mStartedAtMs++;
        }
    }

    @BeforeEach
    void startFleet() {
        for (int number = 0; number < WORKERS; number++) {
            mWorkers.add(new FleetWorker(number));
        }
        mWorkers.forEach(this::connect);
        for (int job = 0; job < LONG_RUNNING_JOBS + BATCH_JOBS; job++) {
            boolean longRunning = job < LONG_RUNNING_JOBS;
            JobSubmission submission =
                    mOwner.submit(
                            String.format("%016x", job + 1),
                            DispatchFixture.step(TASKS_OF_JOB, longRunning));
            mSubmissions.put(submission.id(), submission);
            if (longRunning) {
                mLongRunningJobs.add(submission.id());
            }
        }
        play(1_000, mWorkers);
        assertThat(runningLongRunningTasks()).hasSize(LONG_RUNNING_JOBS * TASKS_OF_JOB);
    }

    private List<FleetWorker> lostWorkers() {
        return mWorkers.subList(0, LOST_WORKERS);
    }

    private List<FleetWorker> remainingWorkers() {
        return mWorkers.subList(LOST_WORKERS, WORKERS);
    }

    private void connect(FleetWorker worker) {
        worker.mLastCommand = 0;
        worker.mSession = mOwner.mDispatcher.onAgentConnected(agent(worker));
        report(worker);
    }

    private void disconnect(FleetWorker worker) {
        mOwner.mDispatcher.onAgentDisconnected(agent(worker));
    }

    private static ProcessId agent(FleetWorker worker) {
        return DispatchFixture.agent(worker.mNumber);
    }

    private void report(FleetWorker worker) {
        // Batch tasks make progress, so that no worker is quarantined for a stall.
        worker.mPercent = (worker.mPercent + 1) % 100;
        List<RunSample> running = new ArrayList<>();
        worker.mRuns.forEach(run -> running.add(new RunSample(run, "", worker.mPercent, 900)));
        mOwner.report(
                worker.mNumber,
                worker.mSession,
                worker.mStartedAtMs,
                worker.mLastCommand,
                running,
                List.of());
    }

    /** Lets time pass; the given workers execute their commands and report. */
    private void play(int milliseconds, List<FleetWorker> workers) {
        for (int passed = 0; passed < milliseconds; passed += REPORT_INTERVAL_MS) {
            mOwner.advanceTime(REPORT_INTERVAL_MS);
            executeCommands();
            workers.forEach(this::report);
        }
    }

    private void executeCommands() {
        for (; mHandledStarts < mOwner.mStarts.size(); mHandledStarts++) {
            StartRun start = mOwner.mStarts.get(mHandledStarts);
            FleetWorker worker = worker(mOwner.mStartedOn.get(mHandledStarts));
            worker.mLastCommand = start.commandNumber();
            worker.mRuns.add(start.run());
        }
        for (; mHandledStops < mOwner.mStops.size(); mHandledStops++) {
            StopRun stop = mOwner.mStops.get(mHandledStops);
            mWorkers.forEach(worker -> worker.mRuns.remove(stop.run()));
        }
    }

    private FleetWorker worker(ProcessId agent) {
        return mWorkers.stream()
                .filter(worker -> agent(worker).equals(agent))
                .findFirst()
                .orElseThrow();
    }

    private boolean isLongRunning(RunId run) {
        return mLongRunningJobs.contains(run.task().job());
    }

    private long longRunningStarts() {
        return mOwner.mStarts.stream().filter(start -> isLongRunning(start.run())).count();
    }

    private Set<TaskKey> runningLongRunningTasks() {
        Set<TaskKey> running = new HashSet<>();
        for (FleetWorker worker : mWorkers) {
            for (RunId run : worker.mRuns) {
                if (isLongRunning(run)) {
                    assertThat(running.add(run.task())).as("%s runs twice", run).isTrue();
                }
            }
        }
        return running;
    }

    private void replaceOwner() {
        Map<JobId, JobProgress> progress = new HashMap<>();
        mOwner.mPersisted.forEach(saved -> progress.put(saved.id(), saved));
        mOwner = new DispatchFixture();
        mHandledStarts = 0;
        mHandledStops = 0;
        mSubmissions.forEach(
                (id, submission) ->
                        mOwner.mDispatcher.restoreJob(
                                submission, Optional.ofNullable(progress.get(id)), false));
    }

    @Test
    void restartsAllLongRunningTasksAfterWholeFleetLostPower() {
        mWorkers.forEach(FleetWorker::losePower);
        replaceOwner();
        mOwner.advanceTime(REPORT_INTERVAL_MS);
        mWorkers.forEach(this::connect);

        play(2_000, mWorkers);

        assertThat(runningLongRunningTasks()).hasSize(LONG_RUNNING_JOBS * TASKS_OF_JOB);
    }

    @Test
    void restartsLongRunningTasksOfLostWorkersOnceTheirLeasesExpired() {
        lostWorkers().forEach(this::disconnect);

        long starts = longRunningStarts();
        play(LEASE_EXPIRY_MS - REPORT_INTERVAL_MS, remainingWorkers());
        assertThat(longRunningStarts()).isEqualTo(starts);
        lostWorkers().forEach(worker -> worker.mRuns.clear());
        play(2_000, remainingWorkers());

        assertThat(runningLongRunningTasks()).hasSize(LONG_RUNNING_JOBS * TASKS_OF_JOB);
    }

    @Test
    void keepsLongRunningTasksWhenAgentsReconnectRepeatedly() {
        long starts = longRunningStarts();
        for (int round = 0; round < 10; round++) {
            lostWorkers().forEach(this::disconnect);
            play(1_000, remainingWorkers());
            lostWorkers().forEach(this::connect);
            play(REPORT_INTERVAL_MS, mWorkers);
        }

        assertThat(longRunningStarts()).isEqualTo(starts);
        assertThat(mOwner.mStops).noneMatch(stop -> isLongRunning(stop.run()));
        assertThat(runningLongRunningTasks()).hasSize(LONG_RUNNING_JOBS * TASKS_OF_JOB);
    }

    @Test
    void keepsLongRunningTasksUnderNextOwnerAndRestartsThoseOfLostWorkers() {
        replaceOwner();
        remainingWorkers().forEach(this::connect);
        play(LEASE_EXPIRY_MS, remainingWorkers());
        assertThat(longRunningStarts()).isZero();
        assertThat(mOwner.mStops).noneMatch(stop -> isLongRunning(stop.run()));
        lostWorkers().forEach(worker -> worker.mRuns.clear());

        play(LeaseAuthority.STORE_TIMEOUT_MS + 2_000, remainingWorkers());

        assertThat(runningLongRunningTasks()).hasSize(LONG_RUNNING_JOBS * TASKS_OF_JOB);
    }
}
