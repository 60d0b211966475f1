package org.hickorycleat.logic.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.junit.jupiter.api.Test;

class WorkerQuarantineTest {
    private static final WorkerId FAULTY_WORKER = new WorkerId("bad");

    private final WorkerQuarantine mQuarantine = new WorkerQuarantine(QuarantineSettings.DEFAULT);

    private void recordEnd(String job, int run, WorkerId worker, boolean failed, long nowMs) {
        mQuarantine.recordAttemptEnd(
                new AttemptEnd(
                        new TaskId(job + "/" + run), new JobName(job), worker, failed, nowMs));
    }

    private static WorkerId healthy(int number) {
        return new WorkerId("healthy-" + number);
    }

    /** Guards against counting the failures of a faulty worker against the jobs that ran on it. */
    @Test
    void quarantinesTheWorkerOnWhichAllTasksFail() {
        for (int i = 0; i < 3; i++) {
            recordEnd("job-" + i, 0, FAULTY_WORKER, true, i);
        }
        assertThat(mQuarantine.quarantinedWorkers()).containsExactly(FAULTY_WORKER);
        for (int i = 0; i < 3; i++) {
            TaskId task = new TaskId("job-" + i + "/0");
            assertThat(mQuarantine.failedWorkers(task)).isEmpty();
        }
    }

    /** Guards against quarantining all workers because of one job that always fails. */
    @Test
    void findsTheFailingTaskAndQuarantinesNoWorker() {
        for (int run = 0; run < 20; run++) {
            for (int worker = 0; worker < 3; worker++) {
                recordEnd("broken", run, healthy(worker), true, run);
            }
            TaskId task = new TaskId("broken/" + run);
            assertThat(mQuarantine.isFailingTask(task)).isTrue();
            mQuarantine.clearHistory(task);
        }
        assertThat(mQuarantine.quarantinedWorkers()).isEmpty();
    }

    /** Guards against quarantining all workers because a job fails that succeeded before. */
    @Test
    void quarantinesNoWorkerForJobThatStartsToFail() {
        recordEnd("changed", 0, healthy(9), false, 0);
        for (int run = 1; run < 20; run++) {
            for (int worker = 0; worker < 3; worker++) {
                recordEnd("changed", run, healthy(worker), true, run);
            }
        }
        assertThat(mQuarantine.quarantinedWorkers()).isEmpty();
    }

    /** Guards against a faulty worker that goes undetected because there is only a single job. */
    @Test
    void quarantinesTheOnlyWorkerOnWhichTheOnlyJobFails() {
        recordEnd("only", 0, healthy(0), false, 0);
        for (int run = 1; run <= 3; run++) {
            recordEnd("only", run, FAULTY_WORKER, true, run);
        }
        assertThat(mQuarantine.isQuarantined(FAULTY_WORKER)).isTrue();
    }

    /** Guards against several probe tasks at once and against probe tasks without a delay. */
    @Test
    void startsSingleProbeTaskAndDoublesTheDelayAfterEachFailure() {
        quarantinesTheWorkerOnWhichAllTasksFail();
        assertThat(mQuarantine.isProbeDue(FAULTY_WORKER, 1_000)).isFalse();
        assertThat(mQuarantine.isProbeDue(FAULTY_WORKER, 40_000)).isTrue();
        mQuarantine.recordStart(new TaskId("probe/0"), FAULTY_WORKER);
        assertThat(mQuarantine.isProbeDue(FAULTY_WORKER, 40_000)).isFalse();
        recordEnd("probe", 0, FAULTY_WORKER, true, 50_000);
        assertThat(mQuarantine.isProbeDue(FAULTY_WORKER, 100_000)).isFalse();
        assertThat(mQuarantine.isProbeDue(FAULTY_WORKER, 110_000)).isTrue();
        assertThat(mQuarantine.failedWorkers(new TaskId("probe/0"))).isEmpty();
    }

    /** Guards against a worker that stays quarantined after it was repaired. */
    @Test
    void releasesTheWorkerAfterSuccessfulProbes() {
        quarantinesTheWorkerOnWhichAllTasksFail();
        for (int run = 0; run < 2; run++) {
            assertThat(mQuarantine.isQuarantined(FAULTY_WORKER)).isTrue();
            mQuarantine.recordStart(new TaskId("probe/" + run), FAULTY_WORKER);
            recordEnd("probe", run, FAULTY_WORKER, false, 40_000);
        }
        assertThat(mQuarantine.isQuarantined(FAULTY_WORKER)).isFalse();
    }

    /** Distinguishes a faulty worker from a failing job in a random mix of both. */
    @Property(seed = "71", tries = 100)
    void distinguishesTheFaultyWorkerFromTheFailingJob(
            @ForAll @IntRange(min = 0, max = 100_000) int seed,
            @ForAll @IntRange(min = 5, max = 11) int workers) {
        WorkerQuarantine quarantine = new WorkerQuarantine(QuarantineSettings.DEFAULT);
        Random random = new Random(seed);
        for (int i = 0; i < 400; i++) {
            int worker = random.nextInt(workers);
            int job = random.nextInt(8);
            TaskId task = new TaskId("job-" + job + "/" + i % 4);
            WorkerId id = healthy(worker);
            boolean failed = worker == 0 || job == 0;
            if (!quarantine.isQuarantined(id) && !quarantine.isFailingTask(task)) {
                JobName name = new JobName("job-" + job);
                quarantine.recordAttemptEnd(new AttemptEnd(task, name, id, failed, i));
            }
        }
        assertThat(quarantine.quarantinedWorkers()).containsExactly(healthy(0));
        assertThat(quarantine.failingTasks())
                .isNotEmpty()
                .allSatisfy(task -> assertThat(task.value()).startsWith("job-0/"));
    }
}
