package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.interference.LatencyCriticalLoad;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;

class InterferenceEstimatorTest {
    private static final int TARGET_MS = 50;
    private static final WorkerIncarnation INCARNATION =
            new WorkerIncarnation(new WorkerId("i-1"), 1);

    private final InterferenceEstimator mEstimator = new InterferenceEstimator();

    private static StepSpecification step(String image, int targetMs, boolean bestEffort) {
        return new StepSpecification(
                1,
                new Resources(2_000, 1_000, 0),
                0,
                List.of(),
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                false,
                image,
                targetMs,
                bestEffort,
                -1);
    }

    private static TrackedWorker worker() {
        TrackedWorker worker = new TrackedWorker(new ProcessId("agent"), 0);
        WorkerDescription description =
                new WorkerDescription(
                        INCARNATION,
                        new ServiceName("booking"),
                        new Resources(16_000, 64_000, 0),
                        List.of(),
                        false,
                        0,
                        1);
        worker.onReport(
                new WorkerReport(
                        1,
                        DispatchFixture.EPOCH,
                        0,
                        Optional.of(description),
                        Optional.of(INCARNATION),
                        0,
                        List.of(),
                        List.of(),
                        List.of(),
                        ListCompleteness.COMPLETE,
                        false,
                        0,
                        0,
                        true,
                        100),
                0);
        return worker;
    }

    private static TrackedRun add(TrackedWorker worker, StepSpecification step, long measurement) {
        JobSubmission submission =
                new JobSubmission(
                        new JobId("job-" + step.image()),
                        DispatchFixture.QUEUE,
                        "",
                        List.of(step),
                        0,
                        0,
                        0,
                        0);
        JobQueue queue =
                new JobQueue(
                        DispatchFixture.QUEUE,
                        "",
                        "",
                        DispatchFixture.SERVICE,
                        0,
                        1,
                        1,
                        0,
                        0,
                        Optional.empty());
        TrackedJob job = new TrackedJob(submission, Optional.of(queue));
        TrackedTask task = job.tasks().get(0);
        TrackedRun run =
                new TrackedRun(
                        new RunId(task.key(), 1), task, worker, INCARNATION, RunPhase.PERSISTING);
        run.onSample(50, measurement, 0);
        worker.add(run);
        return run;
    }

    private void observe(String bestEffort, long tailMs) {
        TrackedWorker worker = worker();
        add(worker, step("serving", TARGET_MS, false), tailMs);
        add(worker, step(bestEffort, 0, true), 2_000);
        mEstimator.update(worker);
    }

    @Test
    void distinguishesHarmfulFromHarmlessImages() {
        for (int i = 0; i < 100; i++) {
            observe("harmful", 60);
            observe("harmless", 20);
        }
        TrackedWorker worker = worker();
        add(worker, step("serving", TARGET_MS, false), 20);

        double harmful = mEstimator.expectedLoad(worker, step("harmful", 0, true));
        double harmless = mEstimator.expectedLoad(worker, step("harmless", 0, true));

        assertThat(harmful).isGreaterThan(LatencyCriticalLoad.LOAD_AT_TARGET);
        assertThat(harmless).isLessThan(LatencyCriticalLoad.of(30, TARGET_MS));
    }

    @Test
    void countsTasksWithoutMeasurement() {
        for (int i = 0; i < 100; i++) {
            observe("harmful", 60);
        }
        TrackedWorker worker = worker();
        add(worker, step("serving", TARGET_MS, false), 10);
        double before = mEstimator.expectedLoad(worker, step("harmful", 0, true));
        add(worker, step("harmful", 0, true), 0);

        assertThat(mEstimator.expectedLoad(worker, step("harmful", 0, true))).isGreaterThan(before);
    }

    @Test
    void expectsNoLoadWithoutLatencyCriticalTasks() {
        assertThat(mEstimator.expectedLoad(worker(), step("harmful", 0, true))).isZero();
    }

    /**
     * Guards against wrong weights from saturated tail latencies: close to saturation, the tail
     * latency does not measure the excess load.
     */
    @Test
    void boundsWeightsWhenTailExceedsSaturation() {
        for (int i = 0; i < 50; i++) {
            observe("harmful", 5_000);
        }
        TrackedWorker worker = worker();
        add(worker, step("serving", TARGET_MS, false), 20);

        assertThat(mEstimator.addedLoad(worker, step("harmful", 0, true))).isBetween(0.2, 1.0);
    }

    @Test
    void attributesSlowDriftToLatencyCriticalRun() {
        TrackedWorker worker = worker();
        TrackedRun latencyCritical = add(worker, step("serving", TARGET_MS, false), 18);
        TrackedRun bestEffort = add(worker, step("filling", 0, true), 2_000);
        for (int i = 0; i < 40; i++) {
            latencyCritical.onSample(50, 18 + i / 4, i);
            bestEffort.onSample(50, 2_000, i);
            mEstimator.update(worker);
        }
        double before = mEstimator.addedLoad(worker, step("filling", 0, true));
        for (int i = 40; i < 80; i++) {
            latencyCritical.onSample(50, 28 - (i - 40) / 4, i);
            bestEffort.onSample(50, 2_000, i);
            mEstimator.update(worker);
        }

        assertThat(mEstimator.addedLoad(worker, step("filling", 0, true)))
                .isCloseTo(before, within(0.05));
    }

    @Test
    void restoresWeightsFromSnapshot() {
        for (int i = 0; i < 100; i++) {
            observe("harmful", 60);
        }
        InterferenceEstimator restored = new InterferenceEstimator();
        restored.restore(mEstimator.snapshot());
        TrackedWorker worker = worker();
        add(worker, step("serving", TARGET_MS, false), 20);

        assertThat(restored.addedLoad(worker, step("harmful", 0, true)))
                .isCloseTo(mEstimator.addedLoad(worker, step("harmful", 0, true)), within(0.001));
    }
}
