package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.StopRun;

/**
 * Plays arrivals of jobs against a dispatcher on the test clock. Workers share their processors in
 * proportion among the tasks that they run.
 */
final class ReplayedFleet {
    static final int WORKER_PROCESSORS_MILLI = 16_000;

    private static final int TICK_MS = 50;
    private static final int REPORT_INTERVAL_MS = 500;
    private static final int FULL_PERCENT = 100;

    final DispatchFixture mOwner;
    private final double mFarRunFactor;
    private final List<ReplayedWorker> mWorkers = new ArrayList<>();
    private final Map<JobId, JobSubmission> mSubmissions = new LinkedHashMap<>();
    private final Map<JobId, Long> mCompletedAtMs = new LinkedHashMap<>();
    private int mHandledStarts;
    private int mHandledStops;
    private int mHandledStates;

    /** A run and the processor time that it still needs. */
    private static final class ReplayedRun {
        private final StepSpecification mStep;
        private double mRemainingMs;

        ReplayedRun(StepSpecification step, double remainingMs) {
            mStep = step;
            mRemainingMs = remainingMs;
        }

        int percent() {
            return (int) (FULL_PERCENT * (1 - mRemainingMs / mStep.estimateMs()));
        }
    }

    private static final class ReplayedWorker {
        private final int mNumber;
        private final long mSession;
        private final Map<RunId, ReplayedRun> mRuns = new LinkedHashMap<>();
        private final List<EndedRun> mEnded = new ArrayList<>();
        private long mReportedAtMs;
        private int mEndCount;
        private long mLastCommand;

        ReplayedWorker(int number, long session) {
            mNumber = number;
            mSession = session;
        }

        double rate() {
            double requested = 0;
            for (ReplayedRun run : mRuns.values()) {
                requested += run.mStep.resources().processorsMilli();
            }
            return Math.min(1, WORKER_PROCESSORS_MILLI / Math.max(1, requested));
        }
    }

    ReplayedFleet(int workers) {
        this(workers, new DispatchFixture(), 1);
    }

    /** Creates a fleet whose runs take longer by a factor away from the rack that they prefer. */
    ReplayedFleet(int workers, DispatchFixture owner, double farRunFactor) {
        mOwner = owner;
        mFarRunFactor = farRunFactor;
        for (int number = 1; number <= workers; number++) {
            mWorkers.add(new ReplayedWorker(number, mOwner.connect(number)));
        }
    }

    long nowMs() {
        return mOwner.mScheduler.now(TimeUnit.MILLISECONDS);
    }

    void submit(String id, StepSpecification... steps) {
        JobSubmission submission = mOwner.submit(id, steps);
        mSubmissions.put(submission.id(), submission);
    }

    /** Advances the clock; every worker runs its tasks and reports. */
    void play(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += TICK_MS) {
            mOwner.mScheduler.advanceTimeBy(TICK_MS, TimeUnit.MILLISECONDS);
            if (passed % (2 * TICK_MS) == 0) {
                mOwner.mDispatcher.tick();
            }
            deliverCommands();
            mWorkers.forEach(this::work);
            recordCompletions();
        }
    }

    private void deliverCommands() {
        while (mHandledStarts < mOwner.mStarts.size()) {
            StartRun start = mOwner.mStarts.get(mHandledStarts);
            ReplayedWorker worker = worker(mOwner.mStartedOn.get(mHandledStarts).value());
            StepSpecification step = step(start.run());
            double done = start.checkpoint().map(Double::parseDouble).orElse(0.0);
            worker.mRuns.put(start.run(), new ReplayedRun(step, step.estimateMs() - done));
            worker.mLastCommand = Math.max(worker.mLastCommand, start.commandNumber());
            mHandledStarts++;
        }
        while (mHandledStops < mOwner.mStops.size()) {
            StopRun stop = mOwner.mStops.get(mHandledStops);
            for (ReplayedWorker worker : mWorkers) {
                ReplayedRun run = worker.mRuns.remove(stop.run());
                if (run != null) {
                    String done = Double.toString(run.mStep.estimateMs() - run.mRemainingMs);
                    end(worker, stop.run(), EndCause.STOPPED, done);
                }
            }
            mHandledStops++;
        }
    }

    private ReplayedWorker worker(String agent) {
        return mWorkers.get(Integer.parseInt(agent.substring(agent.indexOf('-') + 1)) - 1);
    }

    private StepSpecification step(RunId run) {
        return submission(run.task().job()).steps().get(run.task().step());
    }

    private static void end(ReplayedWorker worker, RunId run, EndCause cause, String checkpoint) {
        worker.mEndCount++;
        worker.mEnded.add(new EndedRun(worker.mEndCount, run, cause, checkpoint));
    }

    private void work(ReplayedWorker worker) {
        double rate = worker.rate();
        Iterator<Map.Entry<RunId, ReplayedRun>> runs = worker.mRuns.entrySet().iterator();
        while (runs.hasNext()) {
            Map.Entry<RunId, ReplayedRun> run = runs.next();
            boolean far =
                    run.getValue()
                            .mStep
                            .preferredRack()
                            .filter(rack -> !rack.equals(mOwner.rack(worker.mNumber)))
                            .isPresent();
            run.getValue().mRemainingMs -= rate * TICK_MS / (far ? mFarRunFactor : 1);
            if (run.getValue().mRemainingMs <= 0) {
                end(worker, run.getKey(), EndCause.DONE, "");
                runs.remove();
            }
        }
        boolean due = nowMs() - worker.mReportedAtMs >= REPORT_INTERVAL_MS;
        if (due || !worker.mEnded.isEmpty()) {
            report(worker, rate);
        }
    }

    private void report(ReplayedWorker worker, double rate) {
        worker.mReportedAtMs = nowMs();
        List<RunSample> running = new ArrayList<>();
        worker.mRuns.forEach(
                (id, run) -> {
                    String done = Double.toString(run.mStep.estimateMs() - run.mRemainingMs);
                    long used = (long) (rate * run.mStep.resources().processorsMilli());
                    running.add(new RunSample(id, done, run.percent(), used));
                });
        List<EndedRun> ended = List.copyOf(worker.mEnded);
        worker.mEnded.clear();
        mOwner.report(worker.mNumber, worker.mSession, 1, worker.mLastCommand, running, ended);
    }

    private void recordCompletions() {
        while (mHandledStates < mOwner.mPublished.size()) {
            JobStatus status = mOwner.mPublished.get(mHandledStates);
            if (status.state() == JobState.COMPLETED) {
                mCompletedAtMs.putIfAbsent(status.id(), nowMs());
            }
            mHandledStates++;
        }
    }

    /** Returns the number of jobs that completed within the given time after their submission. */
    long completedWithin(long milliseconds) {
        return mCompletedAtMs.entrySet().stream()
                .filter(job -> durationMs(job.getKey(), job.getValue()) <= milliseconds)
                .count();
    }

    /** Returns the number of jobs that missed the objective of their critical path. */
    long lateJobs(double stretch, int constantMs) {
        return mCompletedAtMs.entrySet().stream()
                .filter(
                        job ->
                                durationMs(job.getKey(), job.getValue())
                                        > stretch * submission(job.getKey()).criticalPathMs()
                                                + constantMs)
                .count();
    }

    /** Returns the sum of the times from submission to completion, in milliseconds. */
    long completionSumMs() {
        return mCompletedAtMs.entrySet().stream()
                .mapToLong(job -> durationMs(job.getKey(), job.getValue()))
                .sum();
    }

    /** Returns the numbers of starts by rack of the tasks that prefer another one. */
    Map<String, Integer> farStarts() {
        Map<String, Integer> starts = new LinkedHashMap<>();
        for (int i = 0; i < mOwner.mStarts.size(); i++) {
            String rack = mOwner.rack(worker(mOwner.mStartedOn.get(i).value()).mNumber);
            Optional<String> preferred = step(mOwner.run(i)).preferredRack();
            if (preferred.isPresent() && !preferred.get().equals(rack)) {
                starts.merge(rack, 1, Integer::sum);
            }
        }
        return starts;
    }

    private long durationMs(JobId job, long completedAtMs) {
        return completedAtMs - submission(job).acceptedAtMs();
    }

    private JobSubmission submission(JobId job) {
        return Objects.requireNonNull(mSubmissions.get(job));
    }

    int submitted() {
        return mSubmissions.size();
    }

    int completed() {
        return mCompletedAtMs.size();
    }
}
