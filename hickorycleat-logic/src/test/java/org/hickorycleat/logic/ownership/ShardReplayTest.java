package org.hickorycleat.logic.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorycleat.logic.port.LogRecord;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.hickorycleat.model.task.TaskState;

class ShardReplayTest {
    private static final OwnerIdentity FIRST = owner("a");
    private static final OwnerIdentity SECOND = owner("b");
    private static final TaskId TASK = new TaskId("job#r");

    private final List<LogRecord> mLog = new ArrayList<>();
    private final ShardRecordCodec mCodec = new ShardRecordCodec();

    /** Guards against decisions of a previous owner that are still applied. */
    @Example
    void batchThatFollowsNewerClaimIsInvalid() {
        append(new ShardRecord.Claim(FIRST, new Epoch(-1)));
        append(batch(0, FIRST, 1, submit()));
        append(new ShardRecord.Claim(SECOND, new Epoch(0)));
        append(batch(0, FIRST, 2, start(1)));

        List<ReplayStep> steps = new ShardReplay().accept(mLog);

        assertThat(steps.get(3).result()).isEqualTo(ReplayStep.Result.INVALID);
        assertThat(replay().state().task(TASK).get().attempt()).isEmpty();
    }

    /** Guards against two owners of one epoch after two claims that replace the same claim. */
    @Example
    void claimThatReplacesAnOlderClaimIsInvalid() {
        append(new ShardRecord.Claim(FIRST, new Epoch(-1)));
        append(new ShardRecord.Claim(SECOND, new Epoch(-1)));

        assertThat(replay().epoch()).isEqualTo(new Epoch(0));
        assertThat(replay().owner()).contains(FIRST);
    }

    /**
     * Guards against a batch that is applied twice because its append was retried after a lost
     * response.
     */
    @Example
    void retriedBatchIsAppliedOnce() {
        append(new ShardRecord.Claim(FIRST, new Epoch(-1)));
        append(batch(0, FIRST, 1, submit()));
        append(batch(0, FIRST, 2, start(1)));
        append(batch(0, FIRST, 3, end(1, TaskState.STOPPED)));
        append(batch(0, FIRST, 2, start(1)));

        List<ReplayStep> steps = new ShardReplay().accept(mLog);

        assertThat(steps.get(4).result()).isEqualTo(ReplayStep.Result.DUPLICATE);
        assertThat(replay().ineffectiveDecisions()).isZero();
    }

    /**
     * Guards against a reader that trusts a snapshot although a later claim may have been truncated
     * before its first record.
     */
    @Example
    void snapshotThatLeavesGapIsIgnored() {
        append(new ShardRecord.Claim(FIRST, new Epoch(-1)));
        ShardSnapshot snapshot = replay().snapshot();
        append(new ShardRecord.Claim(SECOND, new Epoch(0)));
        append(new ShardRecord.Renewal(new Epoch(1), SECOND));
        append(new ShardRecord.Snapshot(0, snapshot));
        ShardReplay late = new ShardReplay();
        late.restart(2);

        late.accept(mLog.subList(2, mLog.size()));

        assertThat(late.isStateKnown()).isFalse();
    }

    /** Guards against a snapshot written before a newer claim that hides that claim. */
    @Example
    void recordsBetweenSnapshotAndItsOffsetAreApplied() {
        append(new ShardRecord.Claim(FIRST, new Epoch(-1)));
        append(batch(0, FIRST, 1, submit()));
        ShardSnapshot snapshot = replay().snapshot();
        append(new ShardRecord.Claim(SECOND, new Epoch(0)));
        append(new ShardRecord.Snapshot(1, snapshot));
        ShardReplay late = new ShardReplay();
        late.restart(2);

        late.accept(mLog.subList(2, mLog.size()));

        assertThat(late.isStateKnown()).isTrue();
        assertThat(late.owner()).contains(SECOND);
        assertThat(late.snapshot()).isEqualTo(replay().snapshot());
    }

    /** Guards against a finished task that is accepted or started again. */
    @Example
    void finishedTaskNeverRunsAgain() {
        append(new ShardRecord.Claim(FIRST, new Epoch(-1)));
        append(batch(0, FIRST, 1, submit()));
        append(batch(0, FIRST, 2, start(1)));
        append(batch(0, FIRST, 3, end(1, TaskState.SUCCEEDED)));
        append(batch(0, FIRST, 4, submit()));
        append(batch(0, FIRST, 5, start(2)));

        assertThat(replay().state().task(TASK)).isEmpty();
        assertThat(replay().state().taskResult(TASK).get().outcome())
                .isEqualTo(TaskResult.Outcome.SUCCEEDED);
        assertThat(replay().ineffectiveDecisions()).isEqualTo(2);
    }

    /** Guards against malformed records that stop the replay or are decoded as valid ones. */
    @Property(seed = "5", tries = 500)
    void malformedRecordsAreSkipped(@ForAll byte[] payload) {
        ShardReplay replay = new ShardReplay();

        replay.accept(List.of(new LogRecord(0, 0, payload)));

        assertThat(replay.nextOffset()).isEqualTo(1);
        assertThat(replay.owner()).isEmpty();
    }

    /** Guards against fields that the codec loses or swaps. */
    @Example
    void snapshotSurvivesEncoding() {
        append(new ShardRecord.Claim(FIRST, new Epoch(-1)));
        append(batch(0, FIRST, 1, submit()));
        append(batch(0, FIRST, 2, instance()));
        append(batch(0, FIRST, 3, start(1)));
        append(
                batch(
                        0,
                        FIRST,
                        4,
                        new ShardDecision.Stop(
                                TASK, new AttemptNumber(1), StopCause.EVICTED, "room")));
        ShardRecord snapshot = new ShardRecord.Snapshot(4, replay().snapshot());

        assertThat(mCodec.decode(mCodec.encode(snapshot))).contains(snapshot);
        byte[] encoded = mCodec.encode(snapshot);
        assertThat(mCodec.decode(Arrays.copyOf(encoded, encoded.length - 1))).isEmpty();
    }

    private ShardReplay replay() {
        ShardReplay replay = new ShardReplay();
        replay.accept(mLog);
        return replay;
    }

    private void append(ShardRecord content) {
        mLog.add(new LogRecord(mLog.size(), mLog.size() * 10L, mCodec.encode(content)));
    }

    private static ShardRecord batch(
            long epoch, OwnerIdentity owner, long sequence, ShardDecision decision) {
        return new ShardRecord.DecisionBatch(new Epoch(epoch), owner, sequence, List.of(decision));
    }

    private static ShardDecision submit() {
        return new ShardDecision.Submit(specification(TASK, Optional.empty()), 5);
    }

    private static ShardDecision instance() {
        return new ShardDecision.Submit(
                specification(new TaskId("service/0/1"), Optional.of(new ServiceName("service"))),
                5);
    }

    private static TaskSpecification specification(TaskId task, Optional<ServiceName> service) {
        return new TaskSpecification(
                task,
                new TeamName("team"),
                service,
                Criticality.IMPORTANT,
                new Resources(1, 2, 3),
                4,
                5,
                6,
                true,
                false);
    }

    private static ShardDecision start(long attempt) {
        return new ShardDecision.Start(
                TASK, new AttemptNumber(attempt), new WorkerId("w"), new Incarnation(7), 8);
    }

    private static ShardDecision end(long attempt, TaskState state) {
        return new ShardDecision.EndAttempt(
                TASK, new AttemptNumber(attempt), state, Optional.empty(), 9);
    }

    private static OwnerIdentity owner(String name) {
        return new OwnerIdentity(new ProcessId(name), new Incarnation(1));
    }
}
