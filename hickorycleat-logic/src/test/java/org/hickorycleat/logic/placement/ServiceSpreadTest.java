package org.hickorycleat.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.stream.Collectors;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;

class ServiceSpreadTest {
    private static final Resources SIZE = new Resources(1_000, 1_000, 0);

    private final FakeFleet mFleet =
            new FakeFleet().withWorkers(9, new Resources(16_000, 60_000, 0));
    private final DefaultPlacementPolicy mPolicy = DefaultPlacementPolicy.builder().build();

    /** Guards against an availability zone that holds more than a third of a service. */
    @Test
    void spreadsInstancesEvenlyOverZonesAndWorkers() {
        for (int i = 0; i < 9; i++) {
            mFleet.submit(FakeFleet.instance("service", i, SIZE), 0);
        }
        mFleet.apply(mPolicy.decide(mFleet.view(), 0), 0);
        Map<ZoneId, Long> zones =
                mFleet.view().placedTasks().stream()
                        .map(task -> mFleet.view().worker(task.worker()).orElseThrow())
                        .collect(Collectors.groupingBy(WorkerView::zone, Collectors.counting()));
        assertThat(zones.values()).containsExactly(3L, 3L, 3L);
        assertThat(mFleet.view().placedTasks())
                .extracting(PlacementView.PlacedTask::worker)
                .doesNotHaveDuplicates();
    }

    /** Guards against tasks that wait forever because no worker is large enough. */
    @Test
    void rejectsTasksLargerThanEveryWorkerOnceAllWorkersHaveReported() {
        mFleet.submit(FakeFleet.batch("large", new Resources(17_000, 1, 0), 1, 9), 0);
        assertThat(mPolicy.decide(mFleet.view(), 0)).isEmpty();
        assertThat(mPolicy.decide(mFleet.view(), 20_000))
                .singleElement()
                .isInstanceOfSatisfying(
                        PlacementDecision.Reject.class,
                        reject -> {
                            assertThat(reject.code()).isEqualTo(ResultCode.NEVER_RUNNABLE);
                            assertThat(reject.reason()).contains("17000");
                        });
    }

    /** Guards against tasks that wait forever because they exceed the quota of their team. */
    @Test
    void rejectsTasksLargerThanTheQuotaOfTheirTeam() {
        var task = FakeFleet.batch("large", SIZE, 1, 9);
        mFleet.view().putQuota(task.team(), new Resources(500, 1_000, 0));
        mFleet.submit(task, 0);
        assertThat(mPolicy.decide(mFleet.view(), 0))
                .singleElement()
                .isInstanceOfSatisfying(
                        PlacementDecision.Reject.class,
                        reject -> assertThat(reject.code()).isEqualTo(ResultCode.QUOTA_EXCEEDED));
    }

    /** Service instances must be placed before batch tasks of any criticality. */
    @Test
    void placesServicesFirstWhenResourcesAreScarce() {
        FakeFleet fleet = new FakeFleet().withWorkers(1, SIZE);
        fleet.submit(FakeFleet.batch("batch", SIZE, 1, 9), 0);
        fleet.submit(FakeFleet.instance("service", 0, SIZE), 5);
        assertThat(mPolicy.decide(fleet.view(), 5))
                .extracting(decision -> decision.task().value())
                .containsExactly("service/0");
    }
}
