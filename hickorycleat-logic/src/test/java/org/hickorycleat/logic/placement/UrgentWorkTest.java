package org.hickorycleat.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.junit.jupiter.api.Test;

class UrgentWorkTest {
    private static final Resources CAPACITY = new Resources(16_000, 60_000, 0);
    private static final Resources SMALL = new Resources(4_000, 15_000, 0);
    private static final long LONG_MS = 3_600_000;

    private final FakeFleet mFleet = new FakeFleet();
    private final DefaultPlacementPolicy mPolicy = DefaultPlacementPolicy.builder().build();

    /** Guards against urgent tasks that wait although evictions would free enough resources. */
    @Property(seed = "51", tries = 100)
    void urgentTasksStartWithinTenSecondsWhileEnoughBatchTasksRun(
            @ForAll @IntRange(min = 1, max = 10) int workers,
            @ForAll @IntRange(min = 1, max = 40) int urgent,
            @ForAll @IntRange(min = 0, max = 100_000) int seed) {
        Random random = new Random(seed);
        FakeFleet fleet = new FakeFleet().withWorkers(workers, CAPACITY);
        DefaultPlacementPolicy policy = DefaultPlacementPolicy.builder().build();
        for (int worker = 0; worker < workers; worker++) {
            for (int i = 0; i < 4; i++) {
                long declaredMs = 1L + random.nextInt(2_000_000);
                fleet.addRunning(
                        batch(worker + "/" + i, declaredMs), worker, -random.nextInt(600_000));
            }
        }
        int runnable = Math.min(urgent, workers * 4);
        for (int i = 0; i < runnable; i++) {
            fleet.submit(FakeFleet.urgent("urgent/" + i, SMALL), 0);
        }
        for (long nowMs = 0; nowMs < 10_000; nowMs += 1_000) {
            fleet.apply(policy.decide(fleet.view(), nowMs), nowMs);
            CapacityTest.assertWithinCapacity(fleet.view());
            fleet.finishStops(nowMs);
        }
        assertThat(fleet.view().pendingHighPriority()).isEmpty();
    }

    /** Guards against evicting a costly task, or more tasks than the urgent one needs. */
    @Test
    void evictsOnlyTheCheapestTask() {
        mFleet.withWorkers(2, CAPACITY);
        for (int i = 0; i < 8; i++) {
            mFleet.addRunning(batch("old/" + i, LONG_MS), i / 4, -1_800_000 + i);
        }
        mFleet.view().removePlaced(new TaskId("old/6"));
        mFleet.addRunning(batch("fresh", LONG_MS), 1, -1_000);
        mFleet.submit(FakeFleet.urgent("urgent", SMALL), 0);
        assertThat(evicted(0)).containsExactly(new TaskId("fresh"));
    }

    /** Guards against evicting the same task repeatedly. */
    @Test
    void prefersTasksThatWereNotEvictedBefore() {
        mFleet.withWorkers(1, CAPACITY);
        for (int i = 0; i < 4; i++) {
            mFleet.addRunning(batch("task/" + i, LONG_MS), 0, -60_000, i == 2 ? 0 : 3);
        }
        mFleet.submit(FakeFleet.urgent("urgent", SMALL), 0);
        assertThat(evicted(0)).containsExactly(new TaskId("task/2"));
    }

    /** Guards against an eviction when a task ends in time, and against waiting too long. */
    @Test
    void waitsOnlyForResourcesThatBecomeFreeInTime() {
        mFleet.withWorkers(1, CAPACITY);
        for (int i = 0; i < 4; i++) {
            mFleet.addRunning(batch("task/" + i, i == 0 ? 62_000 : LONG_MS), 0, -60_000);
        }
        mFleet.submit(FakeFleet.urgent("urgent", SMALL), 0);
        assertThat(evicted(0)).isEmpty();
        assertThat(evicted(4_500)).hasSize(1);
    }

    /** Guards against a second eviction for an urgent task while the first victim is stopping. */
    @Test
    void evictsOnceForEachUrgentTask() {
        mFleet.withWorkers(3, CAPACITY);
        for (int i = 0; i < 12; i++) {
            mFleet.addRunning(batch("task/" + i, LONG_MS), i / 4, -60_000 - i);
        }
        mFleet.submit(FakeFleet.urgent("urgent/0", SMALL), 0);
        mFleet.submit(FakeFleet.urgent("urgent/1", SMALL), 0);
        List<PlacementDecision> first = mPolicy.decide(mFleet.view(), 0);
        mFleet.apply(first, 0);
        assertThat(first).hasSize(2);
        assertThat(mPolicy.decide(mFleet.view(), 500)).isEmpty();
    }

    /** Guards against batch tasks that take the resources freed by an eviction. */
    @Test
    void keepsResourcesFreedByAnEvictionForTheUrgentTask() {
        mFleet.withWorkers(1, CAPACITY);
        for (int i = 0; i < 3; i++) {
            mFleet.addRunning(batch("task/" + i, LONG_MS), 0, -60_000);
        }
        Resources half = new Resources(8_000, 30_000, 0);
        mFleet.submit(FakeFleet.urgent("urgent", half), 0);
        mFleet.submit(batch("waiting", LONG_MS), 0);
        mFleet.apply(mPolicy.decide(mFleet.view(), 0), 0);
        assertThat(mFleet.view().pending(new TaskId("waiting"))).isPresent();
        mFleet.finishStops(100);
        mFleet.apply(mPolicy.decide(mFleet.view(), 200), 200);
        assertThat(mFleet.view().pending(new TaskId("urgent"))).isEmpty();
    }

    /** Guards against evicting service instances or other urgent tasks. */
    @Test
    void evictsNeitherServicesNorUrgentWork() {
        mFleet.withWorkers(1, CAPACITY);
        mFleet.addRunning(FakeFleet.instance("service", 0, new Resources(8_000, 30_000, 0)), 0, 0);
        mFleet.addRunning(FakeFleet.urgent("running", new Resources(8_000, 30_000, 0)), 0, 0);
        mFleet.submit(FakeFleet.urgent("urgent", SMALL), 600_000);
        assertThat(evicted(600_000)).isEmpty();
    }

    private List<TaskId> evicted(long nowMs) {
        return mPolicy.decide(mFleet.view(), nowMs).stream()
                .filter(PlacementDecision.Evict.class::isInstance)
                .map(PlacementDecision::task)
                .toList();
    }

    private static TaskSpecification batch(String id, long estimatedMs) {
        return FakeFleet.batch(id, SMALL, estimatedMs, Long.MAX_VALUE);
    }
}
