package org.hickorycleat.logic.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.batch.JobNaming;
import org.hickorycleat.logic.placement.IncrementalPlacementView;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.logic.placement.PlacementView.Phase;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.hickorycleat.model.task.TaskState;
import org.junit.jupiter.api.Test;

class SchedulingPolicyTest {
    private static final Resources CAPACITY = new Resources(16_000, 60_000, 0);
    private static final long AFTER_FIRST_PROBE_MS = 40_000;

    private final SchedulingPolicy mPolicy = new SchedulingPolicy(JobNaming.BEFORE_LAST_SLASH);
    private final IncrementalPlacementView mView = new IncrementalPlacementView();

    /** Guards against a failing task that is retried on one worker after the other without end. */
    @Test
    void rejectsTaskThatFailsOnSeveralWorkers() {
        addWorkers(4);
        for (int worker = 0; worker < 3; worker++) {
            recordFailure("broken/1", worker);
        }
        submit("broken/1");
        assertThat(mPolicy.decide(mView, 10))
                .filteredOn(PlacementDecision.Reject.class::isInstance)
                .singleElement()
                .isInstanceOfSatisfying(
                        PlacementDecision.Reject.class,
                        reject -> assertThat(reject.code()).isEqualTo(ResultCode.TASK_FAILED));
    }

    /** Guards against two decisions on one task in one round, such as a start and a rejection. */
    @Test
    void decidesOnceAboutEachTask() {
        rejectsTaskThatFailsOnSeveralWorkers();
        assertThat(mPolicy.decide(mView, 20))
                .extracting(PlacementDecision::task)
                .doesNotHaveDuplicates();
    }

    /**
     * Guards against normal starts, and more than one probe task at a time, on a quarantined
     * worker.
     */
    @Test
    void startsOneProbeTaskOnQuarantinedWorker() {
        addWorkers(2);
        for (int i = 0; i < 3; i++) {
            recordFailure("job-" + i + "/1", 0);
        }
        for (int i = 0; i < 5; i++) {
            submit("waiting-" + i + "/1");
        }
        assertThat(startsOn(mPolicy.decide(mView, 10))).isZero();
        assertThat(startsOn(mPolicy.decide(mView, AFTER_FIRST_PROBE_MS))).isEqualTo(1);
    }

    private static long startsOn(List<PlacementDecision> decisions) {
        return decisions.stream()
                .filter(PlacementDecision.Start.class::isInstance)
                .map(PlacementDecision.Start.class::cast)
                .filter(start -> start.worker().equals(new WorkerId("w0")))
                .count();
    }

    private void addWorkers(int count) {
        for (int i = 0; i < count; i++) {
            mView.putWorker(
                    new WorkerView(
                            new WorkerId("w" + i),
                            new RackId("rack"),
                            new ZoneId("zone"),
                            CAPACITY,
                            Resources.NONE,
                            true));
        }
    }

    private void submit(String id) {
        mView.addPending(new PendingTask(task(id), 0, 0, 0, 0));
    }

    private void recordFailure(String id, int worker) {
        PlacedTask placed =
                new PlacedTask(
                        task(id), new WorkerId("w" + worker), 0, 0, 0, 0, Phase.RUNNING, 1_000);
        mPolicy.onAttemptRunning(placed, 0);
        mPolicy.onAttemptEnded(placed, TaskState.FAILED, 0);
    }

    private static TaskSpecification task(String id) {
        return new TaskSpecification(
                new TaskId(id),
                new TeamName("team"),
                Optional.empty(),
                Criticality.NORMAL,
                new Resources(1_000, 1_000, 0),
                60_000,
                0,
                Long.MAX_VALUE,
                true,
                false);
    }
}
