package org.hickorycleat.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hickorycleat.logic.batch.PriorityRules;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.junit.jupiter.api.Test;

class BackfillTest {
    private static final Resources CAPACITY = new Resources(16_000, 60_000, 0);

    private static DefaultPlacementPolicy policy() {
        return DefaultPlacementPolicy.builder()
                .priorityRule(PriorityRules.FIRST_COME_FIRST_SERVED)
                .settings(PlacementSettings.DEFAULT.withReservationDelayMs(0))
                .build();
    }

    /** With exact run times, backfilling must not delay the start of the head of the queue. */
    @Property(seed = "61", tries = 100)
    void backfillingNeverDelaysTheHead(
            @ForAll @IntRange(min = 1, max = 4) int workers,
            @ForAll @IntRange(min = 0, max = 30) int backfillTasks,
            @ForAll @IntRange(min = 0, max = 100_000) int seed) {
        long startWithoutBackfill = startOfHead(workers, 0, seed);
        assertThat(startOfHead(workers, backfillTasks, seed))
                .isLessThanOrEqualTo(startWithoutBackfill);
    }

    private static long startOfHead(int workers, int backfillTasks, int seed) {
        Random random = new Random(seed);
        FakeFleet fleet = new FakeFleet().withWorkers(workers, CAPACITY);
        for (int worker = 0; worker < workers; worker++) {
            for (int i = 0; i < 3; i++) {
                Resources size = new Resources(1_000 + random.nextInt(4_000), 9_000, 0);
                fleet.addRunning(
                        batch("r" + worker + "/" + i, size, 1 + random.nextInt(50)), worker, 0);
            }
        }
        fleet.submit(batch("head", new Resources(15_000, 30_000, 0), 10), 0);
        for (int i = 0; i < backfillTasks; i++) {
            Resources size = new Resources(500 + random.nextInt(6_000), 4_000, 0);
            fleet.submit(batch("filler/" + i, size, 1 + random.nextInt(80)), 1 + i);
        }
        return runUntilHeadStarts(fleet);
    }

    private static long runUntilHeadStarts(FakeFleet fleet) {
        DefaultPlacementPolicy policy = policy();
        for (long nowMs = 0; nowMs < 300_000; nowMs += 1_000) {
            removeFinished(fleet, nowMs);
            fleet.apply(policy.decide(fleet.view(), nowMs), nowMs);
            if (fleet.view().pending(new TaskId("head")).isEmpty()) {
                return nowMs;
            }
        }
        throw new AssertionError("the head of the queue did not start within 300 s");
    }

    private static void removeFinished(FakeFleet fleet, long nowMs) {
        List<PlacedTask> placed = new ArrayList<>(fleet.view().placedTasks());
        for (PlacedTask task : placed) {
            if (task.startedMs() + task.specification().estimatedMs() <= nowMs) {
                fleet.view().removePlaced(task.specification().task());
            }
        }
    }

    /** Guards against a policy that starts nothing while the head of the queue waits. */
    @Test
    void backfillsTasksThatEndBeforeTheHeadStarts() {
        FakeFleet fleet = new FakeFleet().withWorkers(1, CAPACITY);
        fleet.addRunning(batch("running", new Resources(12_000, 30_000, 0), 60), 0, 0);
        fleet.submit(batch("head", new Resources(16_000, 30_000, 0), 60), 0);
        fleet.submit(batch("short", new Resources(4_000, 9_000, 0), 30), 1);
        fleet.submit(batch("long", new Resources(4_000, 9_000, 0), 90), 0);
        fleet.apply(policy().decide(fleet.view(), 1_000), 1_000);
        assertThat(fleet.view().pending(new TaskId("short"))).isEmpty();
        assertThat(fleet.view().pending(new TaskId("long"))).isPresent();
    }

    private static TaskSpecification batch(String id, Resources size, long seconds) {
        return FakeFleet.batch(id, size, seconds * 1_000, Long.MAX_VALUE);
    }
}
