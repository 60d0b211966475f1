package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.task.Resources;

/** Compares the counters that events update with sums over all tasks and runs. */
class TrackedCountersPropertyTest {
    private static final int TASKS_PER_STEP = 4;

    private final TrackedJob mJob =
            new TrackedJob(
                    new JobSubmission(
                            new JobId("1"),
                            DispatchFixture.QUEUE,
                            "payload",
                            List.of(
                                    step("", false, 0, false),
                                    step("web", false, 50, true),
                                    step("mail", false, 50, true),
                                    step("batch", true, 0, false)),
                            0,
                            0,
                            0,
                            0),
                    Optional.of(DispatchFixture.queue()));
    private final TrackedWorker mFirst = new TrackedWorker(DispatchFixture.agent(1), 0);
    private final TrackedWorker mSecond = new TrackedWorker(DispatchFixture.agent(2), 0);
    private final WorkerIncarnation mIncarnation = new WorkerIncarnation(new WorkerId("w"), 1);

    private static StepSpecification step(
            String image, boolean bestEffort, int targetLatencyMs, boolean longRunning) {
        return new StepSpecification(
                TASKS_PER_STEP,
                new Resources(333, 100, 0),
                1_000,
                List.of(),
                true,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                longRunning,
                image,
                targetLatencyMs,
                bestEffort,
                -1);
    }

    @Property(tries = 300, seed = "71")
    void countersEqualSums(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 1_000) Integer> operations) {
        for (int operation : operations) {
            List<TrackedTask> tasks = mJob.tasks();
            apply(tasks.get(operation % tasks.size()), operation / tasks.size() % 5);
            assertCounters();
        }
    }

    private void apply(TrackedTask task, int operation) {
        switch (operation) {
            case 0, 1 -> start(task, operation == 0 ? mFirst : mSecond);
            case 2 -> {
                end(task);
                task.onPending(0);
            }
            case 3 -> {
                end(task);
                task.onDone();
            }
            default -> {
                if (task.status() == TaskStatus.ACTIVE) {
                    end(task);
                    task.onReservationCancelled();
                }
            }
        }
    }

    private void start(TrackedTask task, TrackedWorker worker) {
        if (task.status() == TaskStatus.PENDING) {
            RunId id = new RunId(task.key(), task.nextRunNumber());
            TrackedRun run = new TrackedRun(id, task, worker, mIncarnation, RunPhase.PERSISTING);
            worker.add(run);
            task.onRunAssigned(run);
        }
    }

    private static void end(TrackedTask task) {
        task.run().ifPresent(run -> run.worker().remove(run));
    }

    private void assertCounters() {
        for (TrackedStep step : mJob.occurrences().get(0)) {
            List<TrackedTask> tasks = step.tasks();
            long done = tasks.stream().filter(task -> task.status() == TaskStatus.DONE).count();
            assertThat(step.isDone()).isEqualTo(done == tasks.size());
            assertThat(step.unfinishedTasks()).isEqualTo((int) (tasks.size() - done));
            assertThat(step.hasRuns())
                    .isEqualTo(tasks.stream().anyMatch(task -> task.run().isPresent()));
            for (TrackedWorker worker : List.of(mFirst, mSecond)) {
                assertThat(step.activeTasksOn(worker))
                        .isEqualTo((int) tasks.stream().filter(task -> isOn(task, worker)).count());
            }
        }
        assertRoom(mFirst);
        assertRoom(mSecond);
    }

    private static boolean isOn(TrackedTask task, TrackedWorker worker) {
        return task.run().map(TrackedRun::worker).equals(Optional.of(worker));
    }

    private static void assertRoom(TrackedWorker worker) {
        List<StepSpecification> steps = new ArrayList<>();
        worker.runs().forEach(run -> steps.add(run.task().specification()));
        long reserved = 0;
        double used = 0;
        for (StepSpecification step : steps) {
            reserved += step.reservation().processorsMilli();
            used += step.resources().processorsMilli() * (step.targetLatencyMs() > 0 ? 0.55 : 1);
        }
        assertThat(worker.freeProcessorsMilli()).isEqualTo(-reserved);
        assertThat((double) worker.idleProcessorsMilli()).isBetween(-used - 1, -used + 1);
        assertThat(worker.finiteRuns())
                .isEqualTo((int) steps.stream().filter(step -> !step.longRunning()).count());
        int balance = 0;
        for (StepSpecification step : steps) {
            if (step.targetLatencyMs() > 0) {
                balance += step.image().equals("web") ? 1 : -1;
            }
        }
        assertThat(worker.imageBalance("web")).isEqualTo(balance);
    }
}
