package org.hickorycleat.logic.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.hickorycleat.model.identifier.TaskId;
import org.junit.jupiter.api.Test;

class ShardOwnerTest {
    /** Guards against accepted work that is never started or whose end is not recorded. */
    @Test
    void runsEveryJobToItsEnd() {
        ShardSimulation simulation = new ShardSimulation(1);
        List<TaskId> jobs =
                IntStream.range(0, 8).mapToObj(number -> simulation.addJob(number, 5)).toList();

        simulation.advance(40_000);

        assertThat(jobs).allMatch(job -> succeeded(simulation, job));
        assertThat(simulation.mRecorder.violations()).isEmpty();
    }

    /** Guards against an evicted task that starts over or is resumed more than once. */
    @Test
    void resumesAnEvictedTaskOnceFromItsCheckpoint() {
        ShardSimulation simulation = new ShardSimulation(2);
        TaskId job = simulation.addJob(0, 60);
        simulation.advance(10_000);

        simulation.evictOne();
        simulation.advance(4_000);

        TaskRecord record = simulation.mLog.replay().state().task(job).orElseThrow();
        assertThat(record.evictions()).isEqualTo(1);
        assertThat(record.lastAttempt()).isEqualTo(2);
        assertThat(record.progressMs()).isGreaterThan(5_000);
        assertThat(simulation.mRecorder.resumed()).isEqualTo(1);
        assertThat(simulation.mRecorder.violations()).isEmpty();
    }

    /** Guards against a shard that nobody takes over, and a new owner that restarts what runs. */
    @Test
    void newOwnerAdoptsWhatRuns() {
        ShardSimulation simulation = new ShardSimulation(3);
        TaskId job = simulation.addJob(0, 600);
        simulation.advance(10_000);
        SimulatedOwner old =
                simulation.mOwners.stream().filter(o -> o.owner().dump().acting()).findAny().get();

        old.mPaused = true;
        simulation.advance(5_000);

        ShardOwner owner = simulation.actingOwner().orElseThrow();
        assertThat(owner).isNotSameAs(old.owner());
        simulation.advance(10_000);
        TaskExplanation explanation = owner.explain(job);
        assertThat(explanation.record().get().lastAttempt()).isEqualTo(1);
        assertThat(explanation.confirmed()).isTrue();
        old.mPaused = false;
        simulation.advance(5_000);
        assertThat(old.owner().dump().acting()).isFalse();
        assertThat(simulation.mRecorder.violations()).isEmpty();
    }

    private static boolean succeeded(ShardSimulation simulation, TaskId job) {
        return simulation
                .mLog
                .replay()
                .state()
                .ending(job)
                .filter(ending -> ending.outcome() == TaskEnding.Outcome.SUCCEEDED)
                .isPresent();
    }
}
