package org.hickorycleat.measurements.placement;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hickorycleat.logic.dispatch.DispatchOutput;
import org.hickorycleat.logic.dispatch.DispatchSettings;
import org.hickorycleat.logic.dispatch.Dispatcher;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.measurements.Figures;
import org.hickorycleat.measurements.Measurement;
import org.hickorycleat.measurements.Median;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.QueueBacklog;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.job.WorkerPool;
import org.hickorycleat.model.job.WorkloadConfiguration;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.task.Resources;

/**
 * Measures the processor time of the dispatcher for each started task on fleets of different sizes,
 * with twice as many best-effort tasks ready as the workers have room for.
 */
public final class DispatchMeasurement implements Measurement {
    private static final int[] FLEET_SIZES = {15, 95, 300};
    private static final int WARM_UP_ROUNDS = 60;
    private static final int ROUNDS = 60;
    private static final int TASKS_PER_JOB = 27;
    private static final int TASK_PROCESSORS_MILLI = 1_800;
    private static final int WORKER_PROCESSORS_MILLI = 16_000;
    private static final int ROUND_MS = 100;
    private static final double NANOS_PER_MICRO = 1_000;

    @Override
    public void run(List<Long> seeds, Consumer<Figures> output) {
        for (int workers : FLEET_SIZES) {
            List<Double> costs = new ArrayList<>();
            for (long seed : seeds) {
                costs.add(new Fleet(workers, seed).microsPerStart());
            }
            output.accept(
                    new Figures()
                            .with("measurement", "dispatch")
                            .with("workers", workers)
                            .with("seeds", seeds.size())
                            .with("micros_per_start", Median.of(costs, cost -> cost)));
        }
    }

    /** Workers that run every started task for a while, and the dispatcher that starts them. */
    private static final class Fleet implements DispatchOutput {
        private static final Epoch EPOCH = new Epoch(1);
        private static final QueueName QUEUE = new QueueName("batch");
        private static final ServiceName SERVICE = new ServiceName("service");

        private final TestScheduler mScheduler = new TestScheduler();
        private final Random mRandom;
        private final int mWorkers;
        private final Dispatcher mDispatcher;
        private final Map<ProcessId, Deque<StartRun>> mRunning = new HashMap<>();
        private final Map<ProcessId, Long> mSessions = new HashMap<>();
        private final Map<ProcessId, Long> mEndNumbers = new HashMap<>();
        private long mReportNumber;
        private long mSubmitted;
        private long mStarts;

        Fleet(int workers, long seed) {
            mWorkers = workers;
            mRandom = new Random(seed);
            mScheduler.advanceTimeBy(1, TimeUnit.MINUTES);
            mDispatcher =
                    new Dispatcher(
                            EPOCH,
                            this,
                            mScheduler,
                            () -> mScheduler.now(TimeUnit.MILLISECONDS),
                            DispatchSettings.of(10_000),
                            DecisionLog.NONE);
            JobQueue queue =
                    new JobQueue(
                            QUEUE,
                            "host",
                            "/batch/",
                            SERVICE,
                            0,
                            2,
                            2,
                            1_000,
                            3_000,
                            Optional.empty());
            mDispatcher.onConfigurationChanged(
                    new WorkloadConfiguration(
                            1,
                            List.of(queue),
                            List.of(new WorkerPool(SERVICE, true, false)),
                            100_000));
            for (int i = 0; i < workers; i++) {
                ProcessId agent = new ProcessId("agent-" + i);
                mRunning.put(agent, new ArrayDeque<>());
                mSessions.put(agent, mDispatcher.onAgentConnected(agent));
                report(agent, List.of());
            }
        }

        double microsPerStart() {
            playRounds(WARM_UP_ROUNDS);
            long startsBefore = mStarts;
            long nanosBefore = processorNanos();
            playRounds(ROUNDS);
            return (processorNanos() - nanosBefore) / NANOS_PER_MICRO / (mStarts - startsBefore);
        }

        private static long processorNanos() {
            return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        }

        private void playRounds(int rounds) {
            for (int i = 0; i < rounds; i++) {
                submitUntilFull();
                mScheduler.advanceTimeBy(ROUND_MS, TimeUnit.MILLISECONDS);
                mDispatcher.tick();
                for (ProcessId agent : List.copyOf(mRunning.keySet())) {
                    endOldestRuns(agent);
                }
            }
        }

        private void submitUntilFull() {
            long running = mRunning.values().stream().mapToLong(Deque::size).sum();
            long room = (long) mWorkers * WORKER_PROCESSORS_MILLI / TASK_PROCESSORS_MILLI;
            while (mSubmitted * TASKS_PER_JOB - mStarts < 2 * room - running) {
                mSubmitted++;
                mDispatcher.onJobSubmitted(submission());
            }
        }

        private JobSubmission submission() {
            StepSpecification step =
                    new StepSpecification(
                            TASKS_PER_JOB,
                            new Resources(TASK_PROCESSORS_MILLI, 500, 0),
                            1_000 + mRandom.nextInt(2_000),
                            List.of(),
                            true,
                            false,
                            false,
                            Optional.empty(),
                            Optional.empty(),
                            0,
                            false,
                            false,
                            "batch",
                            0,
                            true,
                            -1);
            return new JobSubmission(
                    new JobId(Long.toString(mSubmitted)),
                    QUEUE,
                    "payload",
                    List.of(step),
                    0,
                    0,
                    0,
                    mScheduler.now(TimeUnit.MILLISECONDS));
        }

        // About a quarter of the workers end a run in each round.
        private void endOldestRuns(ProcessId agent) {
            Deque<StartRun> running = runs(agent);
            if (running.isEmpty() || mRandom.nextInt(4) > 0) {
                return;
            }
            StartRun oldest = running.removeFirst();
            long number = mEndNumbers.merge(agent, 1L, Long::sum);
            report(agent, List.of(new EndedRun(number, oldest.run(), EndCause.DONE, "")));
        }

        private Deque<StartRun> runs(ProcessId agent) {
            return mRunning.computeIfAbsent(agent, key -> new ArrayDeque<>());
        }

        private void report(ProcessId agent, List<EndedRun> ended) {
            mReportNumber++;
            WorkerIncarnation incarnation =
                    new WorkerIncarnation(new WorkerId("worker-of-" + agent), 1);
            WorkerDescription description =
                    new WorkerDescription(
                            incarnation,
                            SERVICE,
                            new Resources(WORKER_PROCESSORS_MILLI, 64_000, 0),
                            List.of("rack"),
                            false,
                            0,
                            1);
            mDispatcher.onWorkerReport(
                    agent,
                    new WorkerReport(
                            mReportNumber,
                            EPOCH,
                            mSessions.getOrDefault(agent, 0L),
                            Optional.of(description),
                            Optional.of(incarnation),
                            0,
                            List.of(),
                            List.of(),
                            ended,
                            ListCompleteness.COMPLETE,
                            false,
                            0,
                            0,
                            true,
                            100));
        }

        @Override
        public boolean send(ProcessId agent, Message message) {
            if (message instanceof StartRun start) {
                mStarts++;
                runs(agent).addLast(start);
            }
            return true;
        }

        @Override
        public void persistProgress(List<JobProgress> progress, Runnable onDurable) {
            onDurable.run();
        }

        @Override
        public void publishJobStates(List<JobStatus> states) {}

        @Override
        public void publishBacklogs(List<QueueBacklog> backlogs) {}

        @Override
        public boolean mayExtendLeases() {
            return true;
        }

        @Override
        public boolean isPast(JobId job) {
            return false;
        }

        @Override
        public void saveInterferenceWeights(List<InterferenceEstimate> weights) {}
    }
}
