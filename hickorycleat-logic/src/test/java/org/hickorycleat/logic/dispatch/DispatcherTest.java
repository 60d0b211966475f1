package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.RejectionReason;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.message.RunRejected;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;

class DispatcherTest {
    private static final String JOB = "00000000000000aa";

    private final DispatchFixture mFixture = new DispatchFixture();

    private EndedRun end(long number, int start, EndCause cause) {
        return new EndedRun(number, mFixture.run(start), cause, "checkpoint");
    }

    private void reportEnd(long session, long number, int start, EndCause cause) {
        mFixture.report(1, session, 1, number, List.of(), List.of(end(number, start, cause)));
    }

    @Test
    void startsOnlyWhatIsDurable() {
        mFixture.connect(1);
        mFixture.mStoreHolds = true;
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        assertThat(mFixture.mStarts).isEmpty();

        mFixture.release();

        assertThat(mFixture.mStarts).hasSize(1);
    }

    @Test
    void acknowledgesAndShowsEndsOnlyWhenDurable() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.mStoreHolds = true;
        reportEnd(session, 1, 0, EndCause.DONE);
        assertThat(mFixture.published(JOB)).contains(JobState.RUNNING);
        assertThat(mFixture.mLeases).allMatch(lease -> lease.acknowledgedEndNumber() == 0);

        mFixture.release();

        assertThat(mFixture.published(JOB)).contains(JobState.COMPLETED);
        assertThat(mFixture.mLeases.get(mFixture.mLeases.size() - 1).acknowledgedEndNumber())
                .isEqualTo(1);
    }

    @Test
    void startsStepOnlyAfterAllTasksBeforeItAreDone() {
        long session = mFixture.connect(1);
        StepSpecification first = DispatchFixture.step(2, false);
        mFixture.submit(JOB, first, after(first));
        assertThat(mFixture.mStarts).hasSize(2);

        reportEnd(session, 1, 0, EndCause.DONE);
        assertThat(mFixture.mStarts).hasSize(2);
        reportEnd(session, 2, 1, EndCause.DONE);

        assertThat(mFixture.mStarts).hasSize(4);
    }

    private static StepSpecification after(StepSpecification step) {
        return new StepSpecification(
                step.count(),
                step.resources(),
                step.estimateMs(),
                List.of(0),
                step.checkpointable(),
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                false,
                step.image(),
                0,
                false,
                -1);
    }

    @Test
    void restartsFromCheckpointWithHigherRunNumber() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        reportEnd(session, 1, 0, EndCause.LAPSED);

        StartRun second = mFixture.mStarts.get(1);
        assertThat(second.run().number()).isEqualTo(2);
        assertThat(second.checkpoint()).contains("checkpoint");
    }

    @Test
    void failsJobAfterAsManyFailuresAsItsQueueAllows() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        reportEnd(session, 1, 0, EndCause.FAILED);
        reportEnd(session, 2, 1, EndCause.FAILED);

        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.published(JOB)).contains(JobState.FAILED);
    }

    /** A new owner gets ends listed again that the former one counted but did not acknowledge. */
    @Test
    void countsFailureOnceThoughItIsListedAgainToNewOwner() {
        long session = mFixture.connect(1);
        JobSubmission submission = mFixture.submit(JOB, DispatchFixture.step(1, false));
        reportEnd(session, 1, 0, EndCause.FAILED);
        JobProgress stored = mFixture.mStored.get(mFixture.mStored.size() - 1);

        Dispatcher successor = mFixture.newDispatcher();
        successor.restoreJob(submission, Optional.of(stored), false);
        DispatchFixture other = mFixture;
        long newSession = successor.onAgentConnected(DispatchFixture.agent(1));
        successor.onWorkerReport(
                DispatchFixture.agent(1),
                new org.hickorycleat.model.message.WorkerReport(
                        1,
                        DispatchFixture.EPOCH,
                        newSession,
                        Optional.empty(),
                        Optional.of(DispatchFixture.life(1, 1)),
                        0,
                        List.of(),
                        List.of(),
                        List.of(new EndedRun(1, other.run(0), EndCause.FAILED, "")),
                        false,
                        true,
                        100));

        assertThat(mFixture.published(JOB)).isNotEqualTo(Optional.of(JobState.FAILED));
    }

    @Test
    void restartsLastingTaskHoweverItEnds() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, true));
        for (int i = 0; i < 4; i++) {
            reportEnd(session, i + 1, i, i % 2 == 0 ? EndCause.FAILED : EndCause.DONE);
            mFixture.pass(3_000);
            mFixture.report(1, session, 1, i + 1, List.of(), List.of());
        }

        assertThat(mFixture.mStarts.size()).isGreaterThanOrEqualTo(5);
        assertThat(mFixture.published(JOB)).contains(JobState.RUNNING);
    }

    @Test
    void stopsRunsOfCancelledJobAndStartsNoMore() {
        mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(2, false));
        mFixture.mDispatcher.onJobCancelled(new JobId(JOB));

        assertThat(mFixture.mStops).hasSize(2);
        assertThat(mFixture.published(JOB)).contains(JobState.CANCELLED);
        mFixture.pass(1_000);
        assertThat(mFixture.mStarts).hasSize(2);
    }

    @Test
    void neverSendsStartOfJobThatWasCancelledMeanwhile() {
        mFixture.connect(1);
        mFixture.mStoreHolds = true;
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.mDispatcher.onJobCancelled(new JobId(JOB));
        mFixture.release();

        assertThat(mFixture.mStarts).isEmpty();
    }

    @Test
    void givesUpRunsOfWorkerThatRestarted() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 2, 1, List.of(), List.of());

        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.mStarts.get(1).incarnation()).isEqualTo(DispatchFixture.life(1, 2));
    }

    @Test
    void keepsRunThatReportDoesNotCoverYet() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 1, 0, List.of(), List.of());

        assertThat(mFixture.mStarts).hasSize(1);
    }

    @Test
    void restartsRunThatReportDisproves() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 1, 1, List.of(), List.of());

        assertThat(mFixture.mStarts).hasSize(2);
    }

    @Test
    void keepsRunOfUnreachableWorkerUntilItsLeaseCertainlyExpired() {
        mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        long other = mFixture.connect(2);
        mFixture.mDispatcher.onAgentDisconnected(DispatchFixture.agent(1));

        mFixture.pass(6_000);
        mFixture.report(2, other, 1, 0, List.of(), List.of());
        assertThat(mFixture.mStarts).hasSize(1);
        mFixture.pass(500);

        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.mStartedOn.get(1)).isEqualTo(DispatchFixture.agent(2));
    }

    /** A former owner may have extended leases for a while without the store. */
    @Test
    void waitsLongerForWorkersThatOnlyTheFormerOwnerReached() {
        long session = mFixture.connect(1);
        JobSubmission submission = mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 1, 1, List.of(mFixture.sample(0)), List.of());
        JobProgress stored = mFixture.mStored.get(0);
        Dispatcher successor = mFixture.newDispatcher();
        successor.restoreJob(submission, Optional.of(stored), false);
        mFixture.mScheduler.advanceTimeBy(11, java.util.concurrent.TimeUnit.SECONDS);
        successor.tick();
        int before = mFixture.mStored.size();

        mFixture.mScheduler.advanceTimeBy(2, java.util.concurrent.TimeUnit.SECONDS);
        successor.tick();

        assertThat(mFixture.mStored).hasSize(before + 1);
    }

    @Test
    void extendsNoLeaseOnceItMayHaveBeenSucceeded() {
        long session = mFixture.connect(1);
        mFixture.mMayExtend = false;
        mFixture.report(1, session, 1, 0, List.of(), List.of());

        assertThat(mFixture.mLeases.get(mFixture.mLeases.size() - 1).leaseMs()).isZero();
    }

    @Test
    void stopsRunsThatItDoesNotKnow() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.mDispatcher.onRunRejected(
                DispatchFixture.agent(1),
                new RunRejected(
                        DispatchFixture.EPOCH, mFixture.run(0), RejectionReason.UNAVAILABLE));
        mFixture.report(1, session, 1, 1, List.of(mFixture.sample(0)), List.of());

        assertThat(mFixture.mStops).extracting(stop -> stop.run()).contains(mFixture.run(0));
    }

    @Test
    void ignoresReportsOfEarlierSessions() {
        long earlier = mFixture.connect(1);
        mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, earlier, 1, 99, List.of(), List.of());

        assertThat(mFixture.mStarts).hasSize(1);
    }

    private static StepSpecification gang(int count) {
        return new StepSpecification(
                count,
                new Resources(10_000, 1_000, 0),
                0,
                List.of(),
                false,
                true,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                false,
                "image",
                0,
                false,
                -1);
    }

    @Test
    void startsGangWholeOrNotAtAll() {
        mFixture.connect(1);
        mFixture.submit(JOB, gang(2));
        assertThat(mFixture.mStarts).isEmpty();

        mFixture.connect(2);

        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.mStarts).allMatch(start -> start.run().number() == 1);
    }

    @Test
    void takesOneEndForTheWholeGang() {
        long session = mFixture.connect(1);
        mFixture.connect(2);
        mFixture.submit(JOB, gang(2));
        int onFirst = mFixture.mStartedOn.indexOf(DispatchFixture.agent(1));
        reportEnd(session, 1, onFirst, EndCause.DONE);

        assertThat(mFixture.published(JOB)).contains(JobState.COMPLETED);
    }

    @Test
    void startsNothingOnWorkerThatFellSilent() {
        mFixture.connect(1);
        mFixture.pass(2_000);
        mFixture.submit(JOB, DispatchFixture.step(1, false));

        assertThat(mFixture.mStarts).isEmpty();
    }

    @Test
    void neverCommitsWorkerBeyondItsRoom() {
        mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(20, false));

        assertThat(mFixture.mStarts).hasSize(16);
    }

    @Test
    void setsWorkerAsideThatFailsWhatItStarts() {
        long first = mFixture.connect(1);
        for (int i = 0; i < 3; i++) {
            mFixture.submit("00000000000000a" + i, DispatchFixture.step(1, false));
        }
        mFixture.connect(2);
        mFixture.report(
                1,
                first,
                1,
                3,
                List.of(),
                List.of(
                        end(1, 0, EndCause.FAILED),
                        end(2, 1, EndCause.FAILED),
                        end(3, 2, EndCause.FAILED)));

        assertThat(mFixture.mStartedOn.subList(3, 6)).containsOnly(DispatchFixture.agent(2));
    }

    @Test
    void handsOutRoomThatOnlyFillersLeave() {
        mFixture.connect(1);
        StepSpecification whole =
                new StepSpecification(
                        1,
                        new Resources(16_001, 1_000, 0),
                        0,
                        List.of(),
                        false,
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        false,
                        false,
                        "image",
                        0,
                        false,
                        -1);
        mFixture.submit(JOB, whole);

        assertThat(mFixture.mStarts).isEmpty();
    }

    private static StepSpecification filling(int count, int estimateMs) {
        return new StepSpecification(
                count,
                new Resources(4_000, 1_000, 0),
                estimateMs,
                List.of(),
                true,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                false,
                "filling",
                0,
                true,
                -1);
    }

    private static StepSpecification serving(int count) {
        return new StepSpecification(
                count,
                new Resources(3_000, 1_000, 0),
                0,
                List.of(),
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                true,
                "serving",
                50,
                false,
                -1);
    }

    /** A job must not stand still beside free processors, however its image disturbs others. */
    @Test
    void startsJobThatFillsAfterSomeTimeThoughItDisturbs() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, serving(1));
        RunSample atTarget = new RunSample(mFixture.run(0), "", 100, 50);
        mFixture.report(1, session, 1, 1, List.of(atTarget), List.of());
        mFixture.submit("00000000000000bb", filling(1, 1_000));
        assertThat(mFixture.mStarts).hasSize(1);

        for (int passedMs = 0; passedMs < 2_000; passedMs += 500) {
            mFixture.pass(500);
            mFixture.report(1, session, 1, 1, List.of(atTarget), List.of());
        }

        assertThat(mFixture.mStarts).hasSize(2);
    }

    /** The job that came first has lost its objective; the other can still meet it. */
    @Test
    void placesWhatCanBeOnTimeBeforeWhatCannot() {
        mFixture.submit("00000000000000c1", filling(1, 1_000));
        mFixture.pass(20_000);
        mFixture.submit("00000000000000c2", filling(1, 1_000));
        mFixture.connect(1);

        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.run(0).task().job().value()).isEqualTo("00000000000000c2");
    }

    /** Of two jobs that can both be on time, the one with less work for its worth goes first. */
    @Test
    void placesMostWorthForTheWorkFirst() {
        mFixture.submit("00000000000000d1", filling(4, 1_000));
        mFixture.submit("00000000000000d2", filling(1, 1_000));
        mFixture.connect(1);

        assertThat(mFixture.run(0).task().job().value()).isEqualTo("00000000000000d2");
    }

    @Test
    void adoptsRunThatReachedNextLifeOfItsWorker() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 2, 1, List.of(mFixture.sample(0)), List.of());

        assertThat(mFixture.mStarts).hasSize(1);
        assertThat(mFixture.mStops).isEmpty();
    }

    @Test
    void startsAgainWhatNextLifeDoesNotHold() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 2, 1, List.of(), List.of());

        assertThat(mFixture.mStarts).hasSize(2);
    }
}
