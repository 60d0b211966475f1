package org.hickorycleat.logic.interference;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hickorycleat.logic.batch.JobNaming;
import org.hickorycleat.logic.placement.IncrementalPlacementView;
import org.hickorycleat.logic.placement.PlacementView.Phase;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.junit.jupiter.api.Test;

class InterferenceMitigationTest {
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final JobName NOISY = new JobName("noisy");
    private static final Resources SIZE = new Resources(2_000, 4_000, 0);
    private static final int WORKERS = 10;

    private final InterferenceModel mModel = new InterferenceModel();
    private final InterferenceMitigation mMitigation =
            new InterferenceMitigation(
                    mModel,
                    JobNaming.BEFORE_LAST_SLASH,
                    new InterferenceConstraint(mModel, JobNaming.BEFORE_LAST_SLASH),
                    InterferenceSettings.DEFAULT);
    private final IncrementalPlacementView mView = new IncrementalPlacementView();

    /** Guards against evictions or throttling caused by periodic load alone. */
    @Property(seed = "95", tries = 20)
    void takesNoActionForPeriodicLoad(@ForAll @IntRange(min = 0, max = 100_000) int seed) {
        InterferenceModel model = new InterferenceModel();
        InterferenceMitigation mitigation =
                new InterferenceMitigation(
                        model,
                        JobNaming.BEFORE_LAST_SLASH,
                        new InterferenceConstraint(model, JobNaming.BEFORE_LAST_SLASH),
                        InterferenceSettings.DEFAULT);
        IncrementalPlacementView view = fleet(WORKERS);
        Random random = new Random(seed);
        int actions = 0;
        for (long nowMs = 0; nowMs < 1_200_000; nowMs += 5_000) {
            double wave = 0.3 * Math.sin(nowMs / 60_000.0);
            for (int i = 0; i < WORKERS; i++) {
                List<Neighbour> neighbours =
                        random.nextInt(3) > 0 ? List.of(new Neighbour(NOISY, 1)) : List.of();
                double noise = 0.2 * random.nextGaussian();
                model.learn(SERVICE, 20 * Math.exp(wave + noise), neighbours);
            }
            actions += mitigation.decide(view, nowMs).size();
        }
        assertThat(actions).isZero();
    }

    /** A task is throttled twice, then evicted, with the minimum interval between the actions. */
    @Test
    void throttlesBeforeItEvicts() {
        trainNoisyEffect();
        addWorker(0, true);
        addWorker(1, false);
        List<PlacementDecision> actions = new ArrayList<>();
        for (long nowMs = 0; nowMs <= 100_000; nowMs += 5_000) {
            for (PlacementDecision decision : mMitigation.decide(mView, nowMs)) {
                actions.add(decision);
                if (decision instanceof PlacementDecision.Throttle throttle) {
                    placeNoisy(0, throttle.permille());
                }
            }
        }
        assertThat(actions).hasSize(3);
        assertThat(actions.get(0)).isInstanceOf(PlacementDecision.Throttle.class);
        assertThat(actions.get(1)).isInstanceOf(PlacementDecision.Throttle.class);
        assertThat(actions.get(2)).isInstanceOf(PlacementDecision.Evict.class);
    }

    /** Guards against evicting a task that could only be placed next to the same service again. */
    @Test
    void doesNotEvictWhenEveryWorkerHasTheService() {
        trainNoisyEffect();
        addWorker(0, true);
        addWorker(1, true);
        placeNoisy(0, 250);
        placeNoisy(1, 250);
        assertThat(mMitigation.decide(mView, 0)).isEmpty();
    }

    /** Guards against evicting many tasks at once. */
    @Test
    void evictsAtMostOneTaskPerMinuteOnSmallFleets() {
        trainNoisyEffect();
        for (int i = 0; i < WORKERS; i++) {
            addWorker(i, true);
            placeNoisy(i, 250);
        }
        addWorker(WORKERS, false);
        int evictions = 0;
        for (long nowMs = 0; nowMs < 60_000; nowMs += 5_000) {
            evictions += mMitigation.decide(mView, nowMs).size();
        }
        assertThat(evictions).isEqualTo(1);
    }

    /** Guards against tasks that stay throttled after the service has ended. */
    @Test
    void restoresTheShareWhenNoServiceIsSlowedDown() {
        mView.putWorker(worker(0));
        placeNoisy(0, 500);
        assertThat(mMitigation.decide(mView, 0))
                .singleElement()
                .isInstanceOfSatisfying(
                        PlacementDecision.Throttle.class,
                        throttle -> assertThat(throttle.permille()).isEqualTo(1_000));
    }

    private void trainNoisyEffect() {
        for (int i = 0; i < 400; i++) {
            boolean noisy = i % 2 == 0;
            List<Neighbour> neighbours = noisy ? List.of(new Neighbour(NOISY, 1)) : List.of();
            mModel.learn(SERVICE, noisy ? 80 : 20, neighbours);
        }
    }

    private static IncrementalPlacementView fleet(int workers) {
        IncrementalPlacementView view = new IncrementalPlacementView();
        for (int i = 0; i < workers; i++) {
            view.putWorker(worker(i));
            view.putPlaced(placed("service/" + i, Optional.of(SERVICE), i, 1_000));
            if (i < workers - 1) {
                view.putPlaced(placed("noisy/" + i, Optional.empty(), i, 1_000));
            }
        }
        return view;
    }

    private void addWorker(int number, boolean withService) {
        mView.putWorker(worker(number));
        if (withService) {
            mView.putPlaced(placed("service/" + number, Optional.of(SERVICE), number, 1_000));
        }
        if (number == 0) {
            placeNoisy(0, 1_000);
        }
    }

    private void placeNoisy(int worker, int permille) {
        mView.putPlaced(placed("noisy/" + worker, Optional.empty(), worker, permille));
    }

    private static WorkerView worker(int number) {
        return new WorkerView(
                new WorkerId("w" + number),
                new RackId("rack"),
                new ZoneId("zone"),
                new Resources(16_000, 60_000, 0),
                Resources.NONE,
                true);
    }

    private static PlacedTask placed(
            String id, Optional<ServiceName> service, int worker, int permille) {
        TaskSpecification task =
                new TaskSpecification(
                        new TaskId(id),
                        new TeamName("team"),
                        service,
                        Criticality.NORMAL,
                        SIZE,
                        60_000,
                        0,
                        Long.MAX_VALUE,
                        true,
                        false);
        return new PlacedTask(
                task, new WorkerId("w" + worker), 0, 0, 0, 0, Phase.RUNNING, permille);
    }
}
