package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.hickorycleat.logic.election.LeaseAuthority;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskKey;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Strikes a fleet with random faults and compares it with the rules: no task runs twice at the same
 * time or after it is done, nothing runs for a job in a final state, and every accepted job goes on
 * or ends for cause.
 */
class FleetFaultsPropertyTest {
    private static final long SEEDS = 300;
    private static final int WORKERS = 4;
    private static final int FAULTY_MS = 30_000;
    private static final int CALM_MS = 45_000;
    private static final int MAXIMUM_FAULT_INTERVAL_MS = 1_500;
    private static final int SUBMISSION_INTERVAL_MS = 500;
    private static final int REPEAT_INTERVAL_MS = 700;
    private static final double MAXIMUM_LOSS_RATE = 0.3;

    /** Added to the numbers of jobs that are submitted beside a fault. */
    private static final long STRUCK_JOBS = 1L << 32;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void keepsRulesUnderFaults(long seed) {
        keepsRules(new SimulatedFleet(seed, WORKERS), FleetFaultsPropertyTest::injectFault);
    }

    /** Guards against commands that a link delivers after the link that has replaced it. */
    @ParameterizedTest
    @MethodSource("seeds")
    void keepsRulesWhenReplacedLinksDeliverLate(long seed) {
        keepsRules(
                new SimulatedFleet(seed, WORKERS),
                mostly(FleetFaultsPropertyTest::holdAndReplaceLink));
    }

    /**
     * Guards against leases on the clock of a former life: a worker restarts under its id, takes
     * calls that were meant for its former life, and is cut off soon after.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void keepsRulesWhenRestartedWorkersAreCutOff(long seed) {
        keepsRules(
                new SimulatedFleet(seed, WORKERS, LeaseAuthority.CONFIRMED_OWNER_LEASE_MS),
                mostly(FleetFaultsPropertyTest::restartAndCutWorker));
    }

    /**
     * Guards against a start that a restarted worker takes for its former life, just before it is
     * cut off: it runs for longer than the lease that was meant for the former life.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void keepsRulesWhenWorkersAreCutOffAtOnceAfterTheyRestart(long seed) {
        keepsRules(
                new SimulatedFleet(seed, WORKERS, LeaseAuthority.CONFIRMED_OWNER_LEASE_MS),
                mostly(FleetFaultsPropertyTest::restartAndCutWorkerAtOnce));
    }

    private static void restartAndCutWorkerAtOnce(SimulatedFleet fleet) {
        int worker = fleet.randomWorker();
        int downMs = fleet.random().nextInt(30);
        fleet.crashWorker(worker, downMs);
        int submittedAfterMs = downMs + fleet.random().nextInt(30);
        fleet.schedule(
                submittedAfterMs,
                () -> fleet.submit(randomJob(fleet, STRUCK_JOBS + fleet.nowMs())));
        fleet.schedule(
                submittedAfterMs + 15 + fleet.random().nextInt(60),
                () -> {
                    fleet.cutWorker(worker, 1_000 + fleet.random().nextInt(15_000));
                    int fault = fleet.random().nextInt(6);
                    if (fault == 0) {
                        killOwner(fleet);
                    } else if (fault == 1) {
                        killAgent(fleet, worker);
                    } else if (fault == 2) {
                        killAgent(fleet, worker);
                        killOwner(fleet);
                    }
                });
    }

    private static void restartAndCutWorker(SimulatedFleet fleet) {
        int worker = fleet.randomWorker();
        fleet.crashWorker(worker);
        fleet.schedule(
                500 + fleet.random().nextInt(3_000),
                () -> {
                    fleet.cutWorker(worker, 1_000 + fleet.random().nextInt(12_000));
                    int fault = fleet.random().nextInt(4);
                    if (fault == 0) {
                        killOwner(fleet);
                    } else if (fault == 1) {
                        killAgent(fleet, worker);
                    }
                });
    }

    private static void holdAndReplaceLink(SimulatedFleet fleet) {
        int replacedAfterMs = 200 + fleet.random().nextInt(1_500);
        int heldMs = replacedAfterMs + fleet.random().nextInt(3_000);
        fleet.holdAndReplaceLink(fleet.randomWorker(), heldMs, replacedAfterMs);
    }

    /** Returns a fault that is the given one in two of three cases, and any other one else. */
    private static Consumer<SimulatedFleet> mostly(Consumer<SimulatedFleet> fault) {
        return fleet -> {
            if (fleet.random().nextInt(3) == 0) {
                injectFault(fleet);
            } else {
                fault.accept(fleet);
            }
        };
    }

    private static void keepsRules(SimulatedFleet fleet, Consumer<SimulatedFleet> injectFault) {
        fleet.setLossRate(fleet.random().nextDouble() * MAXIMUM_LOSS_RATE);
        // The faults of a seed must not depend on the repeats.
        Random repeats = new Random(REPEAT_INTERVAL_MS);
        long nextFaultMs = 0;
        for (long passedMs = 0; passedMs < FAULTY_MS; passedMs += 100) {
            if (passedMs % SUBMISSION_INTERVAL_MS == 0) {
                fleet.submit(randomJob(fleet, passedMs));
            }
            if (passedMs % REPEAT_INTERVAL_MS == 0) {
                repeatRandomJob(fleet, repeats);
            }
            if (passedMs >= nextFaultMs) {
                injectFault.accept(fleet);
                nextFaultMs = passedMs + fleet.random().nextInt(MAXIMUM_FAULT_INTERVAL_MS);
            }
            fleet.advanceTime(100);
        }
        fleet.setLossRate(0);
        fleet.advanceTime(CALM_MS);

        assertThat(fleet.history().violations()).isEmpty();
        assertThat(unjustifiedStates(fleet)).isEmpty();
        assertThat(fleet.keptJobs()).isEqualTo(unfinishedJobs(fleet));
    }

    private static int unfinishedJobs(SimulatedFleet fleet) {
        return (int)
                fleet.submissions().keySet().stream()
                        .filter(job -> !fleet.state(job).isFinal())
                        .count();
    }

    private static void repeatRandomJob(SimulatedFleet fleet, Random random) {
        List<JobSubmission> jobs = new ArrayList<>(fleet.submissions().values());
        fleet.submit(jobs.get(random.nextInt(jobs.size())));
    }

    private static JobSubmission randomJob(SimulatedFleet fleet, long number) {
        boolean longRunning = fleet.random().nextInt(4) == 0;
        StepSpecification step =
                DispatchFixture.step(1 + fleet.random().nextInt(longRunning ? 3 : 10), longRunning);
        return new JobSubmission(
                new JobId(String.format("%016x", number)),
                DispatchFixture.QUEUE,
                "payload",
                List.of(step),
                0,
                0,
                0,
                fleet.nowMs());
    }

    private static void injectFault(SimulatedFleet fleet) {
        int worker = fleet.randomWorker();
        switch (fleet.random().nextInt(7)) {
            case 0 -> killOwner(fleet);
            case 1 -> killAgent(fleet, worker);
            case 2 -> fleet.crashWorker(worker);
            case 3 -> fleet.resetLink(worker);
            case 4 -> {
                killAgent(fleet, worker);
                cancelRandomJob(fleet);
                killOwner(fleet);
            }
            default -> cancelRandomJob(fleet);
        }
    }

    private static void killOwner(SimulatedFleet fleet) {
        fleet.killOwner(300 + fleet.random().nextInt(2_000));
    }

    private static void killAgent(SimulatedFleet fleet, int agent) {
        fleet.killAgent(agent, 200 + fleet.random().nextInt(3_000));
    }

    private static void cancelRandomJob(SimulatedFleet fleet) {
        List<JobId> jobs = new ArrayList<>(fleet.submissions().keySet());
        fleet.cancel(jobs.get(fleet.random().nextInt(jobs.size())));
    }

    private static List<String> unjustifiedStates(SimulatedFleet fleet) {
        List<String> found = new ArrayList<>();
        for (JobSubmission submission : fleet.submissions().values()) {
            JobState state = fleet.state(submission.id());
            boolean justified =
                    switch (state) {
                        case COMPLETED -> !isRunning(fleet, submission);
                        case CANCELLED ->
                                fleet.isCancelled(submission.id()) && !isRunning(fleet, submission);
                        case FAILED ->
                                !isRunning(fleet, submission)
                                        && hasExhaustedTask(fleet, submission);
                        default -> isAllAtWork(fleet, submission);
                    };
            if (!justified) {
                found.add(submission.id() + " " + state + " " + submission.steps());
            }
        }
        return found;
    }

    private static List<TaskKey> tasks(JobSubmission submission) {
        List<TaskKey> tasks = new ArrayList<>();
        for (int i = 0; i < submission.steps().get(0).count(); i++) {
            tasks.add(new TaskKey(submission.id(), 0, 0, i));
        }
        return tasks;
    }

    private static boolean isRunning(SimulatedFleet fleet, JobSubmission submission) {
        Set<TaskKey> running = fleet.history().runningTasks();
        return tasks(submission).stream().anyMatch(running::contains);
    }

    private static boolean hasExhaustedTask(SimulatedFleet fleet, JobSubmission submission) {
        return tasks(submission).stream()
                .anyMatch(
                        task ->
                                fleet.history().failedRuns(task)
                                        >= DispatchFixture.MAXIMUM_ATTEMPTS);
    }

    /** A job that is not final after a calm time has long-running tasks, which may just restart. */
    private static boolean isAllAtWork(SimulatedFleet fleet, JobSubmission submission) {
        if (!submission.steps().get(0).longRunning()) {
            return false;
        }
        for (int i = 0; i < 30; i++) {
            Set<TaskKey> running = fleet.history().runningTasks();
            if (running.containsAll(tasks(submission))) {
                return true;
            }
            fleet.advanceTime(200);
        }
        return false;
    }
}
