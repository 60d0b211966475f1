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
    private static final WorkerId BAD = new WorkerId("bad");

    private final WorkerQuarantine mQuarantine = new WorkerQuarantine(QuarantineSettings.DEFAULT);

    private void end(String job, int run, WorkerId worker, boolean failed, long nowMs) {
        mQuarantine.recordAttemptEnd(
                new AttemptEnd(
                        new TaskId(job + "/" + run), new JobName(job), worker, failed, nowMs));
    }

    private static WorkerId healthy(int number) {
        return new WorkerId("healthy-" + number);
    }

    /** Guards against rejecting good jobs, or sparing a bad worker, when one worker fails all. */
    @Test
    void quarantinesTheWorkerThatFailsEverything() {
        for (int i = 0; i < 3; i++) {
            end("job-" + i, 0, BAD, true, i);
        }
        assertThat(mQuarantine.quarantined()).containsExactly(BAD);
        for (int i = 0; i < 3; i++) {
            TaskId task = new TaskId("job-" + i + "/0");
            assertThat(mQuarantine.failedWorkers(task)).isEmpty();
        }
    }

    /** Guards against quarantining the fleet because of one job that fails everywhere. */
    @Test
    void blamesTheJobThatFailsOnSeveralWorkers() {
        for (int run = 0; run < 20; run++) {
            for (int worker = 0; worker < 3; worker++) {
                end("broken", run, healthy(worker), true, run);
            }
            TaskId task = new TaskId("broken/" + run);
            assertThat(mQuarantine.taskAtFault(task)).isTrue();
            mQuarantine.clearHistory(task);
        }
        assertThat(mQuarantine.quarantined()).isEmpty();
    }

    /** Guards against quarantining the fleet because a job that used to succeed is broken now. */
    @Test
    void blamesTheJobThatBreaksAfterItSucceeded() {
        end("changed", 0, healthy(9), false, 0);
        for (int run = 1; run < 20; run++) {
            for (int worker = 0; worker < 3; worker++) {
                end("changed", run, healthy(worker), true, run);
            }
        }
        assertThat(mQuarantine.quarantined()).isEmpty();
    }

    /** Guards against a bad worker that hides behind a fleet that runs a single job. */
    @Test
    void quarantinesTheWorkerThatFailsAloneOnTheOnlyJob() {
        end("only", 0, healthy(0), false, 0);
        for (int run = 1; run <= 3; run++) {
            end("only", run, BAD, true, run);
        }
        assertThat(mQuarantine.quarantined(BAD)).isTrue();
    }

    /** Guards against several probes at once and against probes without a pause. */
    @Test
    void probesWithOneTaskAtOnceAndWaitsLongerAfterEachFailure() {
        quarantinesTheWorkerThatFailsEverything();
        assertThat(mQuarantine.probeDue(BAD, 1_000)).isFalse();
        assertThat(mQuarantine.probeDue(BAD, 40_000)).isTrue();
        mQuarantine.started(new TaskId("probe/0"), BAD);
        assertThat(mQuarantine.probeDue(BAD, 40_000)).isFalse();
        end("probe", 0, BAD, true, 50_000);
        assertThat(mQuarantine.probeDue(BAD, 100_000)).isFalse();
        assertThat(mQuarantine.probeDue(BAD, 110_000)).isTrue();
        assertThat(mQuarantine.failedWorkers(new TaskId("probe/0"))).isEmpty();
    }

    /** Guards against a worker that stays quarantined after it was repaired. */
    @Test
    void releasesTheWorkerAfterSuccessfulProbes() {
        quarantinesTheWorkerThatFailsEverything();
        for (int run = 0; run < 2; run++) {
            assertThat(mQuarantine.quarantined(BAD)).isTrue();
            mQuarantine.started(new TaskId("probe/" + run), BAD);
            end("probe", run, BAD, false, 40_000);
        }
        assertThat(mQuarantine.quarantined(BAD)).isFalse();
    }

    /** Guards the distinction in a random mix of a bad worker and a broken job. */
    @Property(seed = "71", tries = 100)
    void tellsTheBadWorkerFromTheBrokenJob(
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
            if (!quarantine.quarantined(id) && !quarantine.taskAtFault(task)) {
                JobName name = new JobName("job-" + job);
                quarantine.recordAttemptEnd(new AttemptEnd(task, name, id, failed, i));
            }
        }
        assertThat(quarantine.quarantined()).containsExactly(healthy(0));
        assertThat(quarantine.failingTasks())
                .isNotEmpty()
                .allSatisfy(task -> assertThat(task.value()).startsWith("job-0/"));
    }
}
