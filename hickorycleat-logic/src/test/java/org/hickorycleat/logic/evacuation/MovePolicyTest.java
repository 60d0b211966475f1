package org.hickorycleat.logic.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;

class MovePolicyTest {
    private static StepSpecification step(
            boolean checkpointable, boolean gang, boolean longRunning, int maximumUnavailable) {
        return new StepSpecification(
                4,
                new Resources(1_000, 1_000, 0),
                1_000,
                List.of(),
                checkpointable,
                gang,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                longRunning,
                "image",
                0,
                false,
                maximumUnavailable);
    }

    @Test
    void movesNothingWithoutWorkersElsewhere() {
        assertThat(MovePolicy.maximumMoves(0)).isZero();
        assertThat(MovePolicy.maximumMoves(3)).isEqualTo(1);
        assertThat(MovePolicy.maximumMoves(56)).isEqualTo(7);
    }

    @Test
    void letsTasksEndThatEndSoon() {
        assertThat(MovePolicy.isWorthMoving(step(true, false, false, -1), 4_000)).isFalse();
        assertThat(MovePolicy.isWorthMoving(step(true, false, false, -1), 60_000)).isTrue();
        assertThat(MovePolicy.isWorthMoving(step(true, false, false, -1), -1)).isFalse();
    }

    @Test
    void movesLongRunningTasksButNoWorkThatWouldBeLost() {
        assertThat(MovePolicy.isWorthMoving(step(false, false, true, -1), -1)).isTrue();
        assertThat(MovePolicy.isWorthMoving(step(false, false, false, -1), 60_000)).isFalse();
        assertThat(MovePolicy.isWorthMoving(step(true, true, false, -1), 60_000)).isFalse();
    }

    @Test
    void keepsToDisruptionBudget() {
        assertThat(MovePolicy.isWithinBudget(step(true, false, true, 0), 0, 0)).isFalse();
        assertThat(MovePolicy.isWithinBudget(step(true, false, true, 2), 1, 1)).isTrue();
        assertThat(MovePolicy.isWithinBudget(step(true, false, true, 2), 1, 2)).isFalse();
    }

    @Test
    void movesOneTaskAtOnceOfStepWithoutBudget() {
        assertThat(MovePolicy.isWithinBudget(step(true, false, true, -1), 0, 3)).isTrue();
        assertThat(MovePolicy.isWithinBudget(step(true, false, true, -1), 1, 0)).isFalse();
    }
}
