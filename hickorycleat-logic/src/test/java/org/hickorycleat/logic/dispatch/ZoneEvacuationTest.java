package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Workers 1 and 2 are in one availability zone, 3 and 4 in another. */
class ZoneEvacuationTest {
    private static final ZoneId NORTH = new ZoneId("north");
    private static final ZoneId SOUTH = new ZoneId("south");
    private static final int WORKERS = 4;
    private static final int INTERVAL_MS = 500;

    private final DispatchFixture mFixture = new DispatchFixture();
    private final long[] mSessions = new long[WORKERS + 1];
    private final Set<RunId> mEnded = new HashSet<>();
    private long mStartedAtMs = 1;
    private int mPercent = 100;
    private long mEndNumber;

    @BeforeEach
    void connect() {
        for (int i = 1; i <= WORKERS; i++) {
            mFixture.mZoneOfAgent.put(i, i <= 2 ? NORTH : SOUTH);
            mSessions[i] = mFixture.connect(i);
        }
    }

    private void evacuate(ZoneId... zones) {
        mFixture.mDispatcher.onEvacuationsChanged(() -> Set.of(zones));
    }

    private static StepSpecification step(
            int count, int processorsMilli, Optional<String> rack, boolean gang, int budget) {
        boolean longRunning = budget != Integer.MAX_VALUE;
        return new StepSpecification(
                count,
                new Resources(processorsMilli, 1_000, 0),
                1_000,
                List.of(),
                true,
                gang,
                false,
                Optional.empty(),
                rack,
                0,
                false,
                longRunning,
                "image",
                0,
                false,
                longRunning ? budget : -1);
    }

    private static StepSpecification shortStep(int count, int processorsMilli) {
        return step(count, processorsMilli, Optional.empty(), false, Integer.MAX_VALUE);
    }

    private static StepSpecification longRunningStep(int count, int processorsMilli, int budget) {
        return step(count, processorsMilli, Optional.empty(), false, budget);
    }

    private static ProcessId agent(int number) {
        return DispatchFixture.agent(number);
    }

    private Map<TaskKey, ProcessId> placeOfTask() {
        Map<TaskKey, ProcessId> places = new HashMap<>();
        for (int i = 0; i < mFixture.mStarts.size(); i++) {
            if (!mEnded.contains(mFixture.run(i))) {
                places.put(mFixture.run(i).task(), mFixture.mStartedOn.get(i));
            }
        }
        return places;
    }

    private long tasksIn(ZoneId zone) {
        return placeOfTask().values().stream().filter(agent -> isIn(zone, agent)).count();
    }

    private static boolean isIn(ZoneId zone, ProcessId agent) {
        return (agent.equals(agent(1)) || agent.equals(agent(2))) == zone.equals(NORTH);
    }

    /** Lets all workers report the runs that they were sent, without those that were stopped. */
    private void reportAll() {
        Set<RunId> stopped = new HashSet<>();
        mFixture.mStops.forEach(stop -> stopped.add(stop.run()));
        for (int i = 1; i <= WORKERS; i++) {
            List<RunSample> running = new ArrayList<>();
            List<EndedRun> ended = new ArrayList<>();
            List<StartRun> starts = List.copyOf(mFixture.mStarts);
            long commands = 0;
            for (int j = 0; j < starts.size(); j++) {
                RunId run = starts.get(j).run();
                if (!mFixture.mStartedOn.get(j).equals(agent(i))) {
                    continue;
                }
                commands = Math.max(commands, starts.get(j).commandNumber());
                if (stopped.contains(run) && mEnded.add(run)) {
                    ended.add(new EndedRun(++mEndNumber, run, EndCause.STOPPED, "checkpoint"));
                } else if (!mEnded.contains(run)) {
                    running.add(new RunSample(run, "checkpoint", mPercent, 900));
                }
            }
            mFixture.report(i, mSessions[i], mStartedAtMs, commands, running, ended);
        }
    }

    /** Lets the workers report for a time; returns the most tasks in no place at any moment. */
    private int play(int milliseconds) {
        int tasks = placeOfTask().size();
        int mostAway = 0;
        for (int passed = 0; passed < milliseconds; passed += INTERVAL_MS) {
            mFixture.advanceTime(INTERVAL_MS);
            Set<RunId> stopped = new HashSet<>();
            mFixture.mStops.forEach(stop -> stopped.add(stop.run()));
            stopped.removeAll(mEnded);
            mostAway = Math.max(mostAway, tasks - placeOfTask().size() + stopped.size());
            reportAll();
        }
        return mostAway;
    }

    @Test
    void startsNothingInEvacuatedZone() {
        evacuate(NORTH);
        mFixture.submit("00000000000000aa", shortStep(40, 1_000));

        assertThat(mFixture.mStartedOn).hasSize(32).containsOnly(agent(3), agent(4));
    }

    /** Guards against a start that was decided before the evacuation and is sent after it. */
    @Test
    void sendsNoStartThatWasPersistedBeforeEvacuation() {
        mFixture.mStoreBlocked = true;
        mFixture.submit("00000000000000aa", shortStep(8, 8_000));
        evacuate(NORTH);
        mFixture.completeBlockedWrites();

        assertThat(mFixture.mStartedOn).hasSize(4).containsOnly(agent(3), agent(4));
    }

    /** Guards against members of a gang that start without the others. */
    @Test
    void sendsNoPartOfGangThatWasPersistedBeforeEvacuation() {
        mFixture.mStoreBlocked = true;
        mFixture.submit(
                "00000000000000aa", step(4, 8_000, Optional.empty(), true, Integer.MAX_VALUE));
        evacuate(NORTH);
        mFixture.completeBlockedWrites();

        assertThat(mFixture.mStartedOn).hasSize(4).containsOnly(agent(3), agent(4));
        assertThat(mFixture.mStarts).allMatch(start -> start.run().number() == 2);
    }

    @Test
    void startsBestEffortTasksOfStarvedJobElsewhere() {
        evacuate(NORTH, SOUTH);
        StepSpecification step = shortStep(1, 1_000);
        mFixture.submit(
                "00000000000000aa",
                new StepSpecification(
                        1,
                        step.resources(),
                        1_000,
                        List.of(),
                        true,
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        false,
                        false,
                        "image",
                        0,
                        true,
                        -1));
        play(3_000);
        assertThat(mFixture.mStarts).isEmpty();
        evacuate(NORTH);

        assertThat(mFixture.mStartedOn).hasSize(1).doesNotContain(agent(1), agent(2));
    }

    @Test
    void startsTasksElsewhereWhosePreferredRackIsEvacuated() {
        evacuate(NORTH);
        mFixture.submit(
                "00000000000000aa", step(2, 1_000, Optional.of("r1-1"), false, Integer.MAX_VALUE));

        assertThat(mFixture.mStartedOn).hasSize(2).doesNotContain(agent(1), agent(2));
    }

    @Test
    void startsWaitingTasksWhenZoneIsTakenBack() {
        evacuate(NORTH, SOUTH);
        mFixture.submit("00000000000000aa", shortStep(4, 16_000));
        assertThat(mFixture.mStarts).isEmpty();
        evacuate(SOUTH);
        assertThat(mFixture.mStartedOn).hasSize(2).containsOnly(agent(1), agent(2));
        evacuate();

        assertThat(mFixture.mStartedOn).hasSize(4);
    }

    @Test
    void ignoresUnknownZone() {
        evacuate(new ZoneId("nowhere"));
        mFixture.submit("00000000000000aa", shortStep(4, 16_000));

        assertThat(mFixture.mStartedOn).hasSize(4);
        assertThat(mFixture.mDispatcher.evacuatedRuns()).isZero();
    }

    /** Guards against a worker of the zone that gets work because it joined after the request. */
    @Test
    void startsNothingOnWorkerThatJoinsEvacuatedZone() {
        ZoneId empty = new ZoneId("empty");
        evacuate(empty);
        mFixture.mZoneOfAgent.put(5, empty);
        mFixture.connect(5);
        mFixture.submit("00000000000000aa", shortStep(5, 16_000));

        assertThat(mFixture.mStartedOn).hasSize(4).doesNotContain(agent(5));
    }

    @Test
    void letsShortTasksEnd() {
        mFixture.submit("00000000000000aa", shortStep(8, 4_000));
        reportAll();
        evacuate(NORTH);
        play(1_000);

        assertThat(mFixture.mStops).isEmpty();
        assertThat(mFixture.mDispatcher.evacuatedRuns()).isEqualTo(4);
    }

    /** Guards against an evacuation that takes more of a step away than its budget. */
    @Test
    void movesLongRunningTasksWithinBudget() {
        mFixture.submit("00000000000000aa", longRunningStep(8, 4_000, 1));
        play(2_000);
        evacuate(NORTH);
        int mostAway = play(20_000);

        assertThat(tasksIn(NORTH)).isZero();
        assertThat(tasksIn(SOUTH)).isEqualTo(8);
        assertThat(mostAway).isEqualTo(1);
        assertThat(mFixture.mStarts)
                .filteredOn(start -> start.run().number() > 1)
                .allMatch(start -> start.checkpoint().equals(Optional.of("checkpoint")));
    }

    @Test
    void movesNoTaskOfStepWithoutBudget() {
        mFixture.submit("00000000000000aa", longRunningStep(8, 4_000, 0));
        play(2_000);
        evacuate(NORTH);
        play(10_000);

        assertThat(mFixture.mStops).isEmpty();
    }

    /** Guards against a move while another task of the step still restores its checkpoint. */
    @Test
    void movesNoTaskWhileOthersAreNotAtWork() {
        mFixture.submit("00000000000000aa", longRunningStep(8, 4_000, 1));
        mPercent = 0;
        play(2_000);
        evacuate(NORTH);
        play(2_000);
        assertThat(mFixture.mStops).isEmpty();
        mPercent = 100;
        play(1_000);

        assertThat(mFixture.mStops).isNotEmpty();
    }

    /** Guards against tasks that are stopped without room elsewhere. */
    @Test
    void movesOnlyAsManyTasksAsFindRoom() {
        mFixture.submit("00000000000000aa", longRunningStep(6, 8_000, -1));
        play(2_000);
        long movable = 4 - tasksIn(SOUTH);
        long before = tasksIn(NORTH);
        evacuate(NORTH);
        play(20_000);

        assertThat(mFixture.mStops.stream().map(stop -> stop.run()).distinct().count())
                .isEqualTo(movable);
        assertThat(tasksIn(NORTH)).isEqualTo(before - movable);
        assertThat(tasksIn(SOUTH)).isEqualTo(4);
    }

    @Test
    void movesNothingWhenAllZonesAreEvacuated() {
        mFixture.submit("00000000000000aa", longRunningStep(8, 4_000, -1));
        play(2_000);
        evacuate(NORTH, SOUTH);
        play(5_000);

        assertThat(mFixture.mStops).isEmpty();
    }

    @Test
    void stopsMovingWhenZoneIsTakenBack() {
        mFixture.submit("00000000000000aa", longRunningStep(8, 4_000, 1));
        play(2_000);
        evacuate(NORTH);
        mFixture.advanceTime(200);
        assertThat(mFixture.mStops).hasSize(1);
        evacuate();
        play(10_000);

        assertThat(mFixture.mStops.stream().map(stop -> stop.run()).distinct()).hasSize(1);
        assertThat(placeOfTask()).hasSize(8);
    }

    /** Guards against a new owner that starts the tasks of a previous one in the zone. */
    @Test
    void keepsZoneEvacuatedUnderNextOwner() {
        mFixture.mStoreBlocked = true;
        JobSubmission job = mFixture.submit("00000000000000aa", shortStep(4, 16_000));
        List<JobProgress> persisted = List.copyOf(mFixture.mPersisted);
        Dispatcher next = mFixture.newDispatcher();
        next.onEvacuationsChanged(() -> Set.of(NORTH));
        mFixture.mStoreBlocked = false;
        next.restoreJob(job, Optional.of(persisted.get(persisted.size() - 1)), false);
        mFixture.mDispatcher = next;
        for (int i = 1; i <= WORKERS; i++) {
            mFixture.connect(i);
        }

        assertThat(mFixture.mStartedOn).hasSize(2).containsOnly(agent(3), agent(4));
    }

    /** Guards against a zone that is overloaded by all waiting tasks when it is taken back cold. */
    @Test
    void givesColdWorkersWorkInProportion() {
        evacuate(NORTH, SOUTH);
        mFixture.submit("00000000000000aa", longRunningStep(64, 1_000, -1));
        mStartedAtMs = 2;
        mFixture.mColdRemainingMs = 8_000;
        for (int i = 1; i <= WORKERS; i++) {
            mSessions[i] = mFixture.mDispatcher.onAgentConnected(agent(i));
            mFixture.report(i, mSessions[i], mStartedAtMs, 0, List.of(), List.of());
        }
        evacuate();

        assertThat(mFixture.mStarts).hasSize(WORKERS * 4);
        play(4_000);
        assertThat(placeOfTask().size()).isBetween(WORKERS * 8, WORKERS * 11);
        play(6_000);
        assertThat(placeOfTask()).hasSize(WORKERS * 16);
    }

    /** Guards against admission by the drain rate of workers that get no further tasks. */
    @Test
    void countsNoRoomOfEvacuatedZoneInBacklog() {
        mFixture.submit("00000000000000aa", shortStep(80, 1_000));
        reportAll();
        mFixture.advanceTime(600);
        long before = drainMilli();
        evacuate(NORTH);
        mFixture.advanceTime(600);

        assertThat(drainMilli()).isEqualTo(before / 2);
    }

    private long drainMilli() {
        return mFixture.mBacklogs.get(mFixture.mBacklogs.size() - 1).queues().get(0).drainMilli();
    }
}
