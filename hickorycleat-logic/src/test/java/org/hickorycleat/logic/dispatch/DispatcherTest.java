package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.logic.election.LeaseAuthority;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.ListCompleteness;
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
    void sendsStartOnlyAfterItIsDurable() {
        mFixture.connect(1);
        mFixture.mStoreBlocked = true;
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        assertThat(mFixture.mStarts).isEmpty();

        mFixture.completeBlockedWrites();

        assertThat(mFixture.mStarts).hasSize(1);
    }

    @Test
    void placesWaitingAndNewTasksAgainAfterPlacementIsResumed() {
        mFixture.connect(1);
        mFixture.mDispatcher.stopPlacement();
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        assertThat(mFixture.mStarts).isEmpty();

        mFixture.mDispatcher.resumePlacement();

        assertThat(mFixture.mStarts).hasSize(1);
        mFixture.submit("00000000000000ab", DispatchFixture.step(1, false));
        assertThat(mFixture.mStarts).hasSize(2);
    }

    @Test
    void acknowledgesAndPublishesEndsOnlyWhenDurable() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 1, 1, List.of(mFixture.sample(0)), List.of());
        mFixture.mStoreBlocked = true;
        reportEnd(session, 1, 0, EndCause.DONE);
        assertThat(mFixture.lastPublishedState(JOB)).contains(JobState.RUNNING);
        assertThat(mFixture.mLeases).allMatch(lease -> lease.acknowledgedEndNumber() == 0);

        mFixture.completeBlockedWrites();

        assertThat(mFixture.lastPublishedState(JOB)).contains(JobState.COMPLETED);
        assertThat(mFixture.mLeases.get(mFixture.mLeases.size() - 1).acknowledgedEndNumber())
                .isEqualTo(1);
    }

    /** Guards against a job that counts as started although its start never reached a worker. */
    @Test
    void jobIsQueuedUntilItsRunIsListed() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        assertThat(mFixture.mStarts).hasSize(1);
        assertThat(mFixture.mPublished).isEmpty();

        mFixture.report(1, session, 1, 1, List.of(mFixture.sample(0)), List.of());

        assertThat(mFixture.lastPublishedState(JOB)).contains(JobState.RUNNING);
        // An entry that starts later reads the state from the log.
        assertThat(mFixture.mPersisted.get(mFixture.mPersisted.size() - 1).state())
                .isEqualTo(JobState.RUNNING);
    }

    @Test
    void startsStepOnlyAfterItsPredecessorsAreDone() {
        long session = mFixture.connect(1);
        StepSpecification first = DispatchFixture.step(2, false);
        mFixture.submit(JOB, first, withPredecessor(first));
        assertThat(mFixture.mStarts).hasSize(2);

        reportEnd(session, 1, 0, EndCause.DONE);
        assertThat(mFixture.mStarts).hasSize(2);
        reportEnd(session, 2, 1, EndCause.DONE);

        assertThat(mFixture.mStarts).hasSize(4);
    }

    private static StepSpecification withPredecessor(StepSpecification step) {
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
        assertThat(mFixture.lastPublishedState(JOB)).contains(JobState.FAILED);
    }

    /**
     * Guards against counting a failure twice: the next owner sees ends again that the previous
     * owner counted but did not acknowledge.
     */
    @Test
    void countsFailureOnceWhenItIsListedAgainToNextOwner() {
        long session = mFixture.connect(1);
        JobSubmission submission = mFixture.submit(JOB, DispatchFixture.step(1, false));
        reportEnd(session, 1, 0, EndCause.FAILED);
        JobProgress stored = mFixture.mPersisted.get(mFixture.mPersisted.size() - 1);

        Dispatcher nextOwner = mFixture.newDispatcher();
        nextOwner.restoreJob(submission, Optional.of(stored), false);
        DispatchFixture other = mFixture;
        long newSession = nextOwner.onAgentConnected(DispatchFixture.agent(1));
        nextOwner.onWorkerReport(
                DispatchFixture.agent(1),
                new org.hickorycleat.model.message.WorkerReport(
                        1,
                        DispatchFixture.EPOCH,
                        newSession,
                        Optional.empty(),
                        Optional.of(DispatchFixture.incarnation(1, 1)),
                        0,
                        List.of(),
                        List.of(),
                        List.of(new EndedRun(1, other.run(0), EndCause.FAILED, "")),
                        ListCompleteness.COMPLETE,
                        false,
                        0,
                        0,
                        true,
                        100));

        assertThat(mFixture.lastPublishedState(JOB)).isNotEqualTo(Optional.of(JobState.FAILED));
    }

    @Test
    void restartsLongRunningTaskHoweverItEnds() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, true));
        for (int i = 0; i < 4; i++) {
            reportEnd(session, i + 1, i, i % 2 == 0 ? EndCause.FAILED : EndCause.DONE);
            mFixture.advanceTime(3_000);
            mFixture.report(1, session, 1, i + 1, List.of(), List.of());
        }

        assertThat(mFixture.mStarts.size()).isGreaterThanOrEqualTo(5);
        assertThat(mFixture.lastPublishedState(JOB)).contains(JobState.RUNNING);
    }

    @Test
    void stopsRunsOfCancelledJobAndStartsNoOthers() {
        mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(2, false));
        mFixture.mDispatcher.onJobCancelled(new JobId(JOB));

        assertThat(mFixture.mStops).hasSize(2);
        assertThat(mFixture.lastPublishedState(JOB)).contains(JobState.CANCELLED);
        mFixture.advanceTime(1_000);
        assertThat(mFixture.mStarts).hasSize(2);
    }

    /**
     * Guards against a run of a cancelled job that is never stopped: the owner that cancelled it
     * ended before the agent of the run was connected again.
     */
    @Test
    void stopsInheritedRunOfCancelledJob() {
        mFixture.connect(1);
        JobSubmission submission = mFixture.submit(JOB, DispatchFixture.step(1, true));
        mFixture.mDispatcher.onAgentDisconnected(DispatchFixture.agent(1));
        mFixture.mDispatcher.onJobCancelled(new JobId(JOB));
        JobProgress stored = mFixture.mPersisted.get(mFixture.mPersisted.size() - 1);
        assertThat(stored.state()).isEqualTo(JobState.CANCELLED);

        DispatchFixture next = new DispatchFixture();
        next.mDispatcher.restoreJob(submission, Optional.of(stored), true);
        long session = next.mDispatcher.onAgentConnected(DispatchFixture.agent(1));
        next.report(1, session, 1, 0, List.of(mFixture.sample(0)), List.of());

        assertThat(next.mStops).extracting(stop -> stop.run()).containsOnly(mFixture.run(0));
    }

    /** Guards against a cancellation that arrives before the job that it cancels. */
    @Test
    void startsNoTaskOfJobCancelledBeforeItsSubmissionArrives() {
        mFixture.connect(1);
        mFixture.mDispatcher.onJobCancelled(new JobId(JOB));
        mFixture.submit(JOB, DispatchFixture.step(1, false));

        assertThat(mFixture.mStarts).isEmpty();
        assertThat(mFixture.lastPublishedState(JOB)).contains(JobState.CANCELLED);
    }

    @Test
    void sendsNoStartOfJobCancelledBeforeStartIsDurable() {
        mFixture.connect(1);
        mFixture.mStoreBlocked = true;
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.mDispatcher.onJobCancelled(new JobId(JOB));
        mFixture.completeBlockedWrites();

        assertThat(mFixture.mStarts).isEmpty();
    }

    @Test
    void restartsTasksOfWorkerThatRestarted() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 2, 1, List.of(), List.of());

        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.mStarts.get(1).incarnation())
                .isEqualTo(DispatchFixture.incarnation(1, 2));
    }

    @Test
    void keepsRunWhoseStartReportDoesNotCoverYet() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 1, 0, List.of(), List.of());

        assertThat(mFixture.mStarts).hasSize(1);
    }

    @Test
    void restartsTaskWhoseRunReportProvesAbsent() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 1, 1, List.of(), List.of());

        assertThat(mFixture.mStarts).hasSize(2);
    }

    @Test
    void keepsRunOfUnreachableWorkerUntilItsLeaseCertainlyExpired() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 1, 1, List.of(mFixture.sample(0)), List.of());
        long other = mFixture.connect(2);
        mFixture.mDispatcher.onAgentDisconnected(DispatchFixture.agent(1));

        mFixture.advanceTime(6_000);
        mFixture.report(2, other, 1, 0, List.of(), List.of());
        assertThat(mFixture.mStarts).hasSize(1);
        mFixture.advanceTime(500);

        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.mStartedOn.get(1)).isEqualTo(DispatchFixture.agent(2));
    }

    /**
     * Guards against a second run beside one that a worker has started after it restarted: until
     * the run is listed, it may hold the longest lease.
     */
    @Test
    void keepsUnlistedRunOfUnreachableWorkerForLongestLease() {
        mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.mDispatcher.onAgentDisconnected(DispatchFixture.agent(1));

        assertThat(isStartedAgainWithin(DispatchFixture.MAXIMUM_LEASE_MS + 500)).isFalse();
        assertThat(isStartedAgainWithin(1_500)).isTrue();
    }

    /** Guards against the same while the agent of the worker reports that its lease has expired. */
    @Test
    void keepsPendingRunForAsLongAsItsAgentReports() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.mPending = List.of(mFixture.run(0));
        mFixture.mPendingLeaseRemainingMs = 3_000;
        mFixture.mLeaseExpired = true;
        mFixture.report(1, session, 1, 1, List.of(), List.of());
        mFixture.mDispatcher.onAgentDisconnected(DispatchFixture.agent(1));
        mFixture.mPending = List.of();
        mFixture.mLeaseExpired = false;

        assertThat(isStartedAgainWithin(2_900)).isFalse();
        assertThat(isStartedAgainWithin(DispatchFixture.LEASE_MS)).isTrue();
    }

    /** Guards against the same after a change of the owner. */
    @Test
    void nextOwnerKeepsYoungRunForLongestLease() {
        DispatchFixture next = nextOwnerOfStartedJob();
        next.mDispatcher.restoreRunAges(Map.of(mFixture.run(0), 1_000L));

        assertThat(isStartedWithin(next, DispatchFixture.MAXIMUM_LEASE_MS - 500)).isFalse();
        assertThat(isStartedWithin(next, 1_500)).isTrue();
    }

    /** Guards against a longer wait for runs whose start was long ago. */
    @Test
    void nextOwnerDoesNotWaitLongerForOldRun() {
        DispatchFixture next = nextOwnerOfStartedJob();
        next.mDispatcher.restoreRunAges(Map.of(mFixture.run(0), 20_000L));

        assertThat(isStartedWithin(next, 7_600)).isTrue();
    }

    private boolean isStartedAgainWithin(int milliseconds) {
        for (int passedMs = 0; passedMs < milliseconds; passedMs += 100) {
            mFixture.connect(2);
            mFixture.advanceTime(100);
        }
        return mFixture.mStarts.size() > 1;
    }

    /**
     * Guards against restarting a task while its previous run still has a lease: a previous owner
     * may have extended leases for some time without the store.
     */
    @Test
    void waitsLongerForWorkersThatOnlyPreviousOwnerReached() {
        long session = mFixture.connect(1);
        JobSubmission submission = mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 1, 1, List.of(mFixture.sample(0)), List.of());
        JobProgress stored = mFixture.mPersisted.get(0);
        Dispatcher nextOwner = mFixture.newDispatcher();
        nextOwner.restoreJob(submission, Optional.of(stored), false);
        mFixture.mScheduler.advanceTimeBy(11, java.util.concurrent.TimeUnit.SECONDS);
        nextOwner.tick();
        int before = mFixture.mPersisted.size();

        mFixture.mScheduler.advanceTimeBy(2, java.util.concurrent.TimeUnit.SECONDS);
        nextOwner.tick();

        assertThat(mFixture.mPersisted).hasSize(before + 1);
    }

    private DispatchFixture nextOwnerOfStartedJob() {
        mFixture.connect(1);
        JobSubmission submission = mFixture.submit(JOB, DispatchFixture.step(1, false));
        JobProgress stored = mFixture.mPersisted.get(mFixture.mPersisted.size() - 1);
        DispatchFixture next = new DispatchFixture(LeaseAuthority.CONFIRMED_OWNER_LEASE_MS);
        next.mDispatcher.restoreJob(submission, Optional.of(stored), false);
        return next;
    }

    private static boolean isStartedWithin(DispatchFixture fixture, int milliseconds) {
        for (int passedMs = 0; passedMs < milliseconds; passedMs += 100) {
            fixture.connect(2);
            fixture.advanceTime(100);
        }
        return !fixture.mStarts.isEmpty();
    }

    /**
     * Guards against a second run beside one on a worker that took a deadline on the clock of its
     * former life: only its agent knows how long it may hold its runs.
     */
    @Test
    void nextOwnerWaitsForLeaseThatAgentReports() {
        DispatchFixture next = nextOwnerOfStartedJob();
        next.mLeaseRemainingMs = 9_000;
        long session = next.mDispatcher.onAgentConnected(DispatchFixture.agent(1));
        RunSample sample = new RunSample(mFixture.run(0), "", 10, 900);
        next.report(1, session, 1, 0, List.of(sample), List.of());
        next.mDispatcher.onAgentDisconnected(DispatchFixture.agent(1));
        next.mLeaseRemainingMs = 0;

        assertThat(isStartedWithin(next, 8_900)).isFalse();
        assertThat(isStartedWithin(next, 500)).isTrue();
    }

    /** Guards against the same while the agent has not reported to the next owner. */
    @Test
    void nextOwnerWaitsForMaximumLeaseOfYoungIncarnationBeforeItsAgentReports() {
        DispatchFixture next = nextOwnerOfStartedJob();
        next.mDispatcher.restoreIncarnationAges(Map.of(DispatchFixture.agent(1), 500L));

        assertThat(isStartedWithin(next, DispatchFixture.MAXIMUM_LEASE_MS - 500)).isFalse();
        assertThat(isStartedWithin(next, 1_000)).isTrue();
    }

    /** Guards against a longer wait for workers that have not restarted. */
    @Test
    void nextOwnerDoesNotWaitLongerForIncarnationThatIsNotYoung() {
        DispatchFixture next = nextOwnerOfStartedJob();
        next.mDispatcher.restoreIncarnationAges(Map.of(DispatchFixture.agent(1), 30_000L));

        assertThat(isStartedWithin(next, 7_600)).isTrue();
    }

    @Test
    void extendsNoLeaseWhenOwnershipMayBeLost() {
        long session = mFixture.connect(1);
        mFixture.mMayExtendLeases = false;
        mFixture.advanceTime(500);
        mFixture.report(1, session, 1, 0, List.of(), List.of());

        assertThat(mFixture.mLeases.get(mFixture.mLeases.size() - 1).leaseMs()).isZero();
    }

    @Test
    void extendsLeaseWithEveryReportAtItsInterval() {
        long session = mFixture.connect(1);
        int before = mFixture.mLeases.size();

        for (int i = 0; i < 4; i++) {
            mFixture.advanceTime(500);
            mFixture.report(1, session, 1, 0, List.of(), List.of());
        }

        assertThat(mFixture.mLeases).hasSize(before + 4);
    }

    @Test
    void sendsNoFurtherExtensionForReportsInQuickSuccession() {
        long session = mFixture.connect(1);
        int before = mFixture.mLeases.size();

        for (int i = 0; i < 4; i++) {
            mFixture.advanceTime(100);
            mFixture.report(1, session, 1, 0, List.of(), List.of());
        }

        assertThat(mFixture.mLeases).hasSizeLessThanOrEqualTo(before + 2);
    }

    @Test
    void publishesEachStateOfJobOnce() {
        long session = mFixture.connect(1);
        mFixture.submit("7", DispatchFixture.step(3, false));
        for (int end = 1; end <= 3; end++) {
            mFixture.report(
                    1,
                    session,
                    1,
                    3,
                    List.of(),
                    List.of(new EndedRun(end, mFixture.run(end - 1), EndCause.DONE, "")));
        }

        assertThat(mFixture.mPublished.stream().map(JobStatus::state))
                .containsExactly(JobState.RUNNING, JobState.COMPLETED);
    }

    @Test
    void stopsUnknownRuns() {
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

    /**
     * Guards against tasks that start again after they are done, because their end is not listed.
     */
    @Test
    void keepsRunThatPartialListOmits() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.mCompleteness = ListCompleteness.PARTIAL;
        mFixture.report(1, session, 1, 1, List.of(), List.of());
        assertThat(mFixture.mStarts).hasSize(1);

        mFixture.mCompleteness = ListCompleteness.COMPLETE;
        mFixture.report(1, session, 1, 1, List.of(), List.of());
        assertThat(mFixture.mStarts).hasSize(2);
    }

    /** Guards against an overtaken report that omits a run which a later one contains. */
    @Test
    void ignoresReportThatAnotherOneOvertook() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 1, 1, List.of(mFixture.sample(0)), List.of());

        mFixture.reportWithNumber(1, 1, session, 1, 1, List.of(), List.of());

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
    void startsAllMembersOfGangOrNone() {
        mFixture.connect(1);
        mFixture.submit(JOB, gang(2));
        assertThat(mFixture.mStarts).isEmpty();

        mFixture.connect(2);

        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.mStarts).allMatch(start -> start.run().number() == 1);
    }

    @Test
    void completesGangWithOneEnd() {
        long session = mFixture.connect(1);
        mFixture.connect(2);
        mFixture.submit(JOB, gang(2));
        int onFirst = mFixture.mStartedOn.indexOf(DispatchFixture.agent(1));
        reportEnd(session, 1, onFirst, EndCause.DONE);

        assertThat(mFixture.lastPublishedState(JOB)).contains(JobState.COMPLETED);
    }

    @Test
    void startsNothingOnWorkerWithoutRecentReport() {
        mFixture.connect(1);
        mFixture.advanceTime(2_000);
        mFixture.submit(JOB, DispatchFixture.step(1, false));

        assertThat(mFixture.mStarts).isEmpty();
    }

    @Test
    void neverReservesMoreThanWorkerCapacity() {
        mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(20, false));

        assertThat(mFixture.mStarts).hasSize(16);
    }

    @Test
    void quarantinesWorkerAfterConsecutiveFailures() {
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
    void startsNothingLargerThanWorkerCapacity() {
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

    private static StepSpecification bestEffort(int count, int estimateMs) {
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

    private static StepSpecification latencyCritical(int count) {
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

    /**
     * Guards against starvation of a best-effort job while processors are idle, whatever
     * interference its image causes.
     */
    @Test
    void startsStarvedBestEffortJobDespiteInterference() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, latencyCritical(1));
        RunSample atTarget = new RunSample(mFixture.run(0), "", 100, 50);
        mFixture.report(1, session, 1, 1, List.of(atTarget), List.of());
        mFixture.submit("00000000000000bb", bestEffort(1, 1_000));
        assertThat(mFixture.mStarts).hasSize(1);

        for (int passedMs = 0; passedMs < 2_000; passedMs += 500) {
            mFixture.advanceTime(500);
            mFixture.report(1, session, 1, 1, List.of(atTarget), List.of());
        }

        assertThat(mFixture.mStarts).hasSize(2);
    }

    /** The job that was submitted first can no longer meet its objective; the other one can. */
    @Test
    void placesJobsThatCanMeetObjectiveFirst() {
        mFixture.submit("00000000000000c1", bestEffort(1, 1_000));
        mFixture.advanceTime(20_000);
        mFixture.submit("00000000000000c2", bestEffort(1, 1_000));
        mFixture.connect(1);

        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.run(0).task().job().value()).isEqualTo("00000000000000c2");
    }

    /**
     * Of two jobs that can both meet their objective, the one with more value per work goes first.
     */
    @Test
    void placesHighestValuePerWorkFirst() {
        mFixture.submit("00000000000000d1", bestEffort(4, 1_000));
        mFixture.submit("00000000000000d2", bestEffort(1, 1_000));
        mFixture.connect(1);

        assertThat(mFixture.run(0).task().job().value()).isEqualTo("00000000000000d2");
    }

    @Test
    void adoptsRunThatReachedNextIncarnationOfWorker() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 2, 1, List.of(mFixture.sample(0)), List.of());

        assertThat(mFixture.mStarts).hasSize(1);
        assertThat(mFixture.mStops).isEmpty();
    }

    @Test
    void restartsTaskThatNextIncarnationDoesNotRun() {
        long session = mFixture.connect(1);
        mFixture.submit(JOB, DispatchFixture.step(1, false));
        mFixture.report(1, session, 2, 1, List.of(), List.of());

        assertThat(mFixture.mStarts).hasSize(2);
    }

    /** Guards against a change of owner that restarts the wait for the leases of a lost agent. */
    @Test
    void waitsForLeaseOfInheritedRunUntilItsAgentReports() {
        mFixture.connect(1);
        JobSubmission submission = mFixture.submit(JOB, DispatchFixture.step(1, false));
        JobProgress progress = mFixture.mPersisted.get(mFixture.mPersisted.size() - 1);
        DispatchFixture next = new DispatchFixture();
        assertThat(next.mDispatcher.isWaitingForLease()).isFalse();

        next.mDispatcher.restoreJob(submission, Optional.of(progress), false);
        assertThat(next.mDispatcher.isWaitingForLease()).isTrue();
        long session = next.mDispatcher.onAgentConnected(DispatchFixture.agent(1));
        assertThat(next.mDispatcher.isWaitingForLease()).isTrue();

        next.report(1, session, 1, 0, List.of(mFixture.sample(0)), List.of());
        assertThat(next.mDispatcher.isWaitingForLease()).isFalse();
        next.mDispatcher.onAgentDisconnected(DispatchFixture.agent(1));
        assertThat(next.mDispatcher.isWaitingForLease()).isTrue();
    }

    /** Guards against an owner that never transfers because of an agent that stays away. */
    @Test
    void stopsWaitingOnceLeaseHasExpired() {
        mFixture.connect(1);
        JobSubmission submission = mFixture.submit(JOB, DispatchFixture.step(1, false));
        JobProgress progress = mFixture.mPersisted.get(mFixture.mPersisted.size() - 1);
        DispatchFixture next = new DispatchFixture();
        next.mDispatcher.restoreJob(submission, Optional.of(progress), false);

        next.advanceTime(30_000);

        assertThat(next.mDispatcher.isWaitingForLease()).isFalse();
    }
}
