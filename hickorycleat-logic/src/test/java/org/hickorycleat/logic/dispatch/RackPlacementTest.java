package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.logic.places.WaitPolicy;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Places tasks in the rack of their data; the first of two racks is full for some time. */
class RackPlacementTest {
    private static final String FULL_RACK = "r1-1";
    private static final int WORKERS_PER_RACK = 2;
    private static final int WORKER_PROCESSORS_MILLI = 16_000;
    private static final int RUN_MS = 2_000;
    private static final double FACTOR = 2;

    private DispatchFixture mFixture = new DispatchFixture();
    private final long[] mSessions = new long[2 * WORKERS_PER_RACK + 1];
    private final Map<Integer, Integer> mPercents = new HashMap<>();

    @BeforeEach
    void connectWorkers() {
        connectWorkers(FACTOR);
    }

    private void connectWorkers(double factor) {
        mFixture = new DispatchFixture(WORKERS_PER_RACK, factor, WaitPolicy.expectedEnds());
        for (int number = 1; number < mSessions.length; number++) {
            mSessions[number] = mFixture.connect(number);
        }
    }

    private static StepSpecification step(
            int count, int estimateMs, boolean gang, Optional<String> rack) {
        return new StepSpecification(
                count,
                new Resources(WORKER_PROCESSORS_MILLI, 1_000, 0),
                estimateMs,
                List.of(),
                true,
                gang,
                gang,
                Optional.empty(),
                rack,
                0,
                false,
                false,
                "image",
                0,
                false,
                -1);
    }

    private static StepSpecification wanting(int count, int estimateMs) {
        return step(count, estimateMs, false, Optional.of(FULL_RACK));
    }

    private void fillRack() {
        mFixture.submit("filling", wanting(WORKERS_PER_RACK, RUN_MS));
        assertThat(racksOfStarts()).containsOnly(FULL_RACK);
    }

    private List<String> racksOfStarts() {
        return mFixture.mStartedOn.stream()
                .map(agent -> mFixture.rack(number(agent.value())))
                .toList();
    }

    private static int number(String agent) {
        return Integer.parseInt(agent.substring(agent.indexOf('-') + 1));
    }

    /** Advances the clock while the given workers report; the runs on them progress evenly. */
    private void play(int milliseconds, double pace, int... workers) {
        for (int passed = 0; passed < milliseconds; passed += 100) {
            for (int worker : workers) {
                report(worker, List.of());
            }
            mFixture.advanceTime(100);
            mPercents.replaceAll((start, percent) -> percent + (int) (100 * 100 * pace / RUN_MS));
        }
    }

    private void report(int worker, List<EndedRun> ended) {
        List<RunSample> running = new ArrayList<>();
        for (int start = 0; start < mFixture.mStarts.size(); start++) {
            RunId run = mFixture.run(start);
            boolean hasEnded = ended.stream().anyMatch(end -> end.run().equals(run));
            if (number(mFixture.mStartedOn.get(start).value()) == worker && !hasEnded) {
                int percent = mPercents.computeIfAbsent(start, key -> 0);
                running.add(new RunSample(run, "", Math.min(99, percent), 900));
            }
        }
        mFixture.report(worker, mSessions[worker], 1, mFixture.mStarts.size(), running, ended);
    }

    private void end(int start, int endNumber) {
        int worker = number(mFixture.mStartedOn.get(start).value());
        report(worker, List.of(new EndedRun(endNumber, mFixture.run(start), EndCause.DONE, "")));
    }

    @Test
    void waitsForPlaceThatIsFreeInTime() {
        fillRack();
        play(1_500, 1, 1, 2, 3, 4);
        mFixture.submit("waiting", wanting(1, RUN_MS));
        play(400, 1, 1, 2, 3, 4);
        assertThat(mFixture.mStarts).hasSize(2);

        end(0, 1);

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, FULL_RACK, FULL_RACK);
    }

    @Test
    void startsElsewhereAtOnceWhenWaitDoesNotPay() {
        fillRack();

        mFixture.submit("short", wanting(1, RUN_MS / 4));

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, FULL_RACK, "r1-2");
    }

    // Two tasks fit after the end of the first ones, the next two would end later than elsewhere.
    @Test
    void countsTheQueueForTheRack() {
        fillRack();
        play(1_000, 1, 1, 2, 3, 4);

        mFixture.submit("first", wanting(1, RUN_MS));
        mFixture.submit("second", wanting(1, RUN_MS));
        assertThat(mFixture.mStarts).hasSize(2);
        mFixture.submit("third", wanting(1, RUN_MS));

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, FULL_RACK, "r1-2");
    }

    // A step ends with its last task; with one task elsewhere, the wait of the others is in vain.
    @Test
    void startsWholeStepElsewhereWhenItsLastTaskWouldGainNothing() {
        fillRack();
        play(1_000, 1, 1, 2, 3, 4);

        mFixture.submit("wide", wanting(4, RUN_MS));

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, FULL_RACK, "r1-2", "r1-2");
    }

    @Test
    void endsWaitWhenRackIsLost() {
        fillRack();
        play(1_000, 1, 1, 2, 3, 4);
        mFixture.submit("waiting", wanting(1, RUN_MS));
        assertThat(mFixture.mStarts).hasSize(2);

        mFixture.mDispatcher.onAgentDisconnected(DispatchFixture.agent(1));
        mFixture.mDispatcher.onAgentDisconnected(DispatchFixture.agent(2));
        play(100, 1, 3, 4);

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, FULL_RACK, "r1-2");
    }

    @Test
    void endsWaitWhenRackDrains() {
        fillRack();
        play(1_000, 1, 1, 2, 3, 4);
        mFixture.submit("waiting", wanting(1, RUN_MS));

        mFixture.mDraining = true;
        report(1, List.of());
        report(2, List.of());
        mFixture.mDraining = false;
        play(100, 1, 3, 4);

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, FULL_RACK, "r1-2");
    }

    // The runs before it slow down, so that each expectation is too short.
    @Test
    void waitsNoLongerThanTheRunElsewhereCosts() {
        fillRack();
        play(1_000, 1, 1, 2, 3, 4);
        mFixture.submit("waiting", wanting(1, RUN_MS));

        play((int) (RUN_MS * (FACTOR - 1)) + 100, 0.2, 1, 2, 3, 4);

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, FULL_RACK, "r1-2");
    }

    @Test
    void waitsNeverWithoutFactor() {
        connectWorkers(1);
        fillRack();
        play(1_900, 1, 1, 2, 3, 4);

        mFixture.submit("far", wanting(1, RUN_MS));

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, FULL_RACK, "r1-2");
    }

    @Test
    void startsAnywhereWithRackThatDoesNotExistOrNoEstimate() {
        fillRack();
        play(1_900, 1, 1, 2, 3, 4);

        mFixture.submit("unknown", step(1, RUN_MS, false, Optional.of("none")));
        mFixture.submit("no-estimate", wanting(1, 0));

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, FULL_RACK, "r1-2", "r1-2");
    }

    @Test
    void leavesWantedRackToThoseThatWantIt() {
        StepSpecification small =
                new StepSpecification(
                        1,
                        new Resources(1_000, 1_000, 0),
                        RUN_MS,
                        List.of(),
                        true,
                        false,
                        false,
                        Optional.empty(),
                        Optional.of(FULL_RACK),
                        0,
                        false,
                        false,
                        "image",
                        0,
                        false,
                        -1);
        mFixture.submit("wants", small);

        mFixture.submit("anywhere", step(2, RUN_MS, false, Optional.empty()));

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, "r1-2", "r1-2");
    }

    // The next owner knows no start times, only the progress that the agents list.
    @Test
    void nextOwnerWaitsAfterTheFirstReports() {
        fillRack();
        DispatchFixture next =
                new DispatchFixture(WORKERS_PER_RACK, FACTOR, WaitPolicy.expectedEnds());
        next.mDispatcher.stopPlacement();
        mFixture.mPersisted.forEach(
                progress ->
                        next.mDispatcher.restoreJob(
                                next.submission(progress.id().value(), wanting(2, RUN_MS)),
                                Optional.of(progress),
                                false));
        for (int number = 1; number < mSessions.length; number++) {
            long session = next.mDispatcher.onAgentConnected(DispatchFixture.agent(number));
            List<RunSample> running =
                    number <= WORKERS_PER_RACK
                            ? List.of(new RunSample(mFixture.run(number - 1), "", 80, 900))
                            : List.of();
            next.report(number, session, 1, 0, running, List.of());
        }
        next.mDispatcher.resumePlacement();
        next.submit("after-takeover", wanting(1, RUN_MS));

        assertThat(next.mStarts).isEmpty();
    }

    @Test
    void placesGangInOneRack() {
        mFixture.submit("anywhere", step(1, RUN_MS, false, Optional.empty()));

        mFixture.submit("gang", step(WORKERS_PER_RACK, RUN_MS, true, Optional.empty()));

        List<String> racks = racksOfStarts();
        assertThat(racks).hasSize(3);
        assertThat(racks.get(1)).isEqualTo(racks.get(2)).isNotEqualTo(racks.get(0));
    }

    @Test
    void gangWaitsForOneRackOnlyWhileThatPays() {
        mFixture.submit("first", step(1, RUN_MS, false, Optional.of(FULL_RACK)));
        mFixture.submit("second", step(1, RUN_MS, false, Optional.of("r1-2")));
        play(1_000, 1, 1, 2, 3, 4);

        mFixture.submit("short", step(WORKERS_PER_RACK, RUN_MS / 4, true, Optional.empty()));
        assertThat(racksOfStarts()).containsExactlyInAnyOrder(FULL_RACK, "r1-2", FULL_RACK, "r1-2");
    }

    @Test
    void gangWaitsForOneRack() {
        mFixture.submit("first", step(1, RUN_MS, false, Optional.of(FULL_RACK)));
        mFixture.submit("second", step(1, RUN_MS, false, Optional.of("r1-2")));
        play(1_000, 1, 1, 2, 3, 4);

        mFixture.submit("gang", step(WORKERS_PER_RACK, RUN_MS, true, Optional.empty()));
        assertThat(mFixture.mStarts).hasSize(2);
        end(0, 1);

        assertThat(racksOfStarts()).containsExactly(FULL_RACK, "r1-2", FULL_RACK, FULL_RACK);
    }
}
