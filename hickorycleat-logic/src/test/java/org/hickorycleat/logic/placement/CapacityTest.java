package org.hickorycleat.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

class CapacityTest {
    private static final TeamName TEAM = new TeamName("team");

    /** Checks invariant I1 (no worker overcommitted) and the quotas over calls on random fleets. */
    @Property(seed = "41", tries = 150)
    void neverOvercommitsWorkersOrQuotas(
            @ForAll @IntRange(min = 1, max = 12) int workers,
            @ForAll @IntRange(min = 0, max = 60) int tasks,
            @ForAll @IntRange(min = 0, max = 100_000) int seed) {
        Random random = new Random(seed);
        FakeFleet fleet = new FakeFleet();
        for (int i = 0; i < workers; i++) {
            fleet.withWorkers(i + 1, new Resources(16_000, 60_000, random.nextInt(3)));
        }
        Resources quota = new Resources(16_000L * workers / 2, 40_000L * workers, workers);
        fleet.view().putQuota(TEAM, quota);
        DefaultPlacementPolicy policy = DefaultPlacementPolicy.builder().build();
        for (int call = 0; call < 6; call++) {
            long nowMs = call * 1_000L;
            for (int i = 0; i < tasks / 6 + 1; i++) {
                fleet.submit(randomTask(random, call + "/" + i), nowMs);
            }
            fleet.apply(policy.decide(fleet.view(), nowMs), nowMs);
            assertWithinCapacity(fleet.view());
            assertThat(fleet.view().usageOf(TEAM).fitsInto(quota)).isTrue();
            if (call % 2 == 1) {
                fleet.finishStops(nowMs);
            }
        }
    }

    /** Guards against starts on a worker that is overcommitted or unavailable. */
    @Property(seed = "42", tries = 50)
    void startsNothingOnUnusableWorkers(@ForAll boolean available) {
        FakeFleet fleet = new FakeFleet().withWorkers(1, new Resources(1_000, 1_000, 0));
        WorkerView worker = fleet.view().workers().iterator().next();
        Resources reserved = available ? new Resources(500, 2_000, 0) : Resources.NONE;
        WorkerView changed =
                new WorkerView(
                        worker.worker(),
                        worker.rack(),
                        worker.zone(),
                        worker.capacity(),
                        reserved,
                        available);
        UnindexedView view = new UnindexedView(List.of(changed), fleet.view());
        fleet.submit(FakeFleet.batch("a", new Resources(100, 100, 0), 1_000, 9_000), 0);
        fleet.submit(FakeFleet.urgent("b", new Resources(100, 100, 0)), 0);
        fleet.submit(FakeFleet.instance("s", 0, new Resources(100, 100, 0)), 0);
        assertThat(DefaultPlacementPolicy.builder().build().decide(view, 0)).isEmpty();
    }

    private static TaskSpecification randomTask(Random random, String id) {
        Resources size =
                new Resources(
                        500 + random.nextInt(8_000),
                        500 + random.nextInt(30_000),
                        random.nextInt(4) == 0 ? 1 : 0);
        return switch (random.nextInt(4)) {
            case 0 -> FakeFleet.instance("service" + random.nextInt(2) + "-" + id, 0, size);
            case 1 -> FakeFleet.urgent(id, size);
            default -> FakeFleet.batch(id, size, 1 + random.nextInt(60_000), 600_000);
        };
    }

    static void assertWithinCapacity(PlacementView view) {
        for (WorkerView worker : view.workers()) {
            Resources held = Resources.NONE;
            for (PlacementView.PlacedTask task : view.placedTasks()) {
                if (task.worker().equals(worker.worker())) {
                    held = held.plus(task.specification().resources());
                }
            }
            assertThat(held.fitsInto(worker.capacity())).as("%s", worker).isTrue();
            assertThat(held).isEqualTo(worker.reserved());
        }
    }

    /** Guards against two decisions about one task in one call. */
    @Property(seed = "43", tries = 50)
    void decidesOncePerTask(@ForAll @IntRange(min = 0, max = 100_000) int seed) {
        Random random = new Random(seed);
        FakeFleet fleet = new FakeFleet().withWorkers(3, new Resources(16_000, 60_000, 1));
        for (int i = 0; i < 40; i++) {
            fleet.submit(randomTask(random, "t/" + i), 0);
        }
        List<PlacementDecision> decisions =
                DefaultPlacementPolicy.builder().build().decide(fleet.view(), 0);
        assertThat(decisions).extracting(PlacementDecision::task).doesNotHaveDuplicates();
    }
}
