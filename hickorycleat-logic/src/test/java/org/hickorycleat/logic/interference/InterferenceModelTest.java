package org.hickorycleat.logic.interference;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.assertj.core.data.Offset;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.junit.jupiter.api.Test;

class InterferenceModelTest {
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final JobName NOISY = new JobName("noisy");
    private static final JobName QUIET = new JobName("quiet");

    private final InterferenceModel mModel = new InterferenceModel();

    /**
     * Guards against an effect attributed to a quiet job that is often colocated with a noisy one.
     */
    @Property(seed = "91", tries = 30)
    void findsWhichOfTwoColocatedJobsSlowsTheService(
            @ForAll @IntRange(min = 0, max = 100_000) int seed) {
        InterferenceModel model = new InterferenceModel();
        Random random = new Random(seed);
        for (int i = 0; i < 600; i++) {
            List<Neighbour> neighbours = new ArrayList<>();
            boolean noisy = random.nextInt(2) == 0;
            if (noisy) {
                neighbours.add(new Neighbour(NOISY, 1));
            }
            if (random.nextInt(10) < (noisy ? 7 : 3)) {
                neighbours.add(new Neighbour(QUIET, 1));
            }
            double noise = 0.2 * random.nextGaussian();
            model.learn(SERVICE, 20 * Math.exp((noisy ? 0.6 : 0) + noise), neighbours);
        }
        assertThat(model.estimate(SERVICE, NOISY).mean()).isCloseTo(0.6, Offset.offset(0.15));
        assertThat(model.estimate(SERVICE, QUIET).mean()).isCloseTo(0, Offset.offset(0.15));
        assertThat(model.servicesSlowedBy(NOISY)).containsExactly(SERVICE);
    }

    /** Guards against late measurements attributed to the tasks that run when they arrive. */
    @Test
    void attributesMeasurementsToTheTasksRunningAtTheirTime() {
        ColocationHistory history = new ColocationHistory();
        WorkerId worker = new WorkerId("worker");
        history.recordRunning(worker, new TaskId("a"), NOISY, 1, 0);
        history.recordEnd(worker, new TaskId("a"), 10_000);
        history.recordRunning(worker, new TaskId("b"), QUIET, 1, 10_000);
        assertThat(history.neighboursAt(worker, 9_000)).containsExactly(new Neighbour(NOISY, 1));
        assertThat(history.neighboursAt(worker, 10_000)).containsExactly(new Neighbour(QUIET, 1));
    }

    /** Guards against a history that grows with every task that ever ran. */
    @Test
    void removesIntervalsOlderThanTheRetention() {
        ColocationHistory history = new ColocationHistory();
        WorkerId worker = new WorkerId("worker");
        history.recordRunning(worker, new TaskId("a"), NOISY, 1, 0);
        history.recordEnd(worker, new TaskId("a"), 1_000);
        history.recordRunning(worker, new TaskId("b"), QUIET, 0.5, 100_000);
        assertThat(history.neighboursAt(worker, 500)).isEmpty();
        assertThat(history.neighboursAt(worker, 100_000))
                .containsExactly(new Neighbour(QUIET, 0.5));
    }

    /** Guards against high confidence after a few measurements. */
    @Test
    void hasLowConfidenceAtFirst() {
        mModel.learn(SERVICE, 20, List.of());
        mModel.learn(SERVICE, 40, List.of(new Neighbour(NOISY, 1)));
        SlowdownEstimate estimate = mModel.estimate(SERVICE, NOISY);
        assertThat(estimate.deviation()).isGreaterThan(0.1);
        assertThat(estimate.lowerBound(2)).isLessThan(0.18);
    }
}
