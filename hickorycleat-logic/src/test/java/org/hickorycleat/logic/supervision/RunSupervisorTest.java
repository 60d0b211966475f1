package org.hickorycleat.logic.supervision;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.HttpCallException;
import org.hickorycleat.logic.port.RunCommandResult;
import org.hickorycleat.logic.port.RunListing;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.RejectionReason;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskTraits;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.message.LeaseExtension;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.RunRejected;
import org.hickorycleat.model.message.RunTraits;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.StopRun;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RunSupervisorTest {
    private static final Epoch EPOCH = new Epoch(5);
    private static final long SESSION = 1;
    private static final long NEXT_SESSION = 2;
    private static final int LEASE_MS = 6_000;
    private static final long FIRST_TOKEN = 100;
    private static final RunId RUN =
            new RunId(new TaskKey(new JobId("00000000000000aa"), 0, 0, 0), 1);

    private final TestScheduler mScheduler = new TestScheduler();
    private final FakeWorker mWorker = new FakeWorker();
    private final List<Message> mSent = new ArrayList<>();
    private final WorkerIncarnation mIncarnation =
            new WorkerIncarnation(new WorkerId("i-1"), 1_000);
    private final WorkerIncarnation mRestarted = new WorkerIncarnation(new WorkerId("i-1"), 6_000);
    private final RunSupervisor mSupervisor =
            new RunSupervisor(
                    mWorker,
                    mSent::add,
                    mScheduler,
                    SupervisorSettings.of(10_000, 4_500),
                    FIRST_TOKEN,
                    DecisionLog.NONE);
    private long mCommandNumber;

    @BeforeEach
    void startWithLease() {
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        mSupervisor.start();
        mSupervisor.onOwnerSession(EPOCH, SESSION);
        mSupervisor.onWorkerDescribed(description(false));
        extendLease();
    }

    private WorkerDescription description(boolean draining) {
        return description(mIncarnation, draining);
    }

    private static WorkerDescription description(WorkerIncarnation incarnation, boolean draining) {
        return new WorkerDescription(
                incarnation,
                new ServiceName("booking"),
                new Resources(16_000, 64_000, 0),
                List.of("a", "r1-1"),
                draining,
                0,
                draining ? 2 : 1);
    }

    private void extendLease() {
        mSupervisor.onLeaseExtension(
                new LeaseExtension(
                        EPOCH, lastReport().number(), LEASE_MS, Optional.of(mIncarnation), 0));
    }

    private WorkerReport lastReport() {
        return mSent.stream()
                .filter(WorkerReport.class::isInstance)
                .map(WorkerReport.class::cast)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private List<RunRejected> rejections() {
        return mSent.stream()
                .filter(RunRejected.class::isInstance)
                .map(RunRejected.class::cast)
                .toList();
    }

    private StartRun start(Epoch epoch) {
        return start(epoch, SESSION);
    }

    private StartRun start(Epoch epoch, long session) {
        mCommandNumber++;
        return new StartRun(
                epoch,
                session,
                mCommandNumber,
                mIncarnation,
                RUN,
                "payload",
                Optional.empty(),
                Optional.empty(),
                new TaskTraits("image", true, 0, 1_000));
    }

    private void advanceTime(long milliseconds) {
        mScheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    @Test
    void startsRunWithLeaseCountedFromReport() {
        mSupervisor.onStartRun(start(EPOCH));

        assertThat(mWorker.mStarts).hasSize(1);
        assertThat(mWorker.mStarts.get(0).fencingToken()).isEqualTo(FIRST_TOKEN);
        assertThat(mWorker.mStarts.get(0).leaseDeadlineMs())
                .isLessThanOrEqualTo(mWorker.mClockMs + LEASE_MS);
    }

    @Test
    void ignoresCommandsOfOlderEpoch() {
        mSupervisor.onStartRun(start(new Epoch(4)));
        mSupervisor.onStopRun(new StopRun(new Epoch(4), SESSION, 1, RUN));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(mWorker.mStops).isEmpty();
    }

    /**
     * Guards against a start that is executed although a report of a later session has omitted its
     * run: a replaced link delivers what was sent on it after the link that replaced it.
     */
    @Test
    void rejectsStartOfEarlierSession() {
        mSupervisor.onOwnerSession(EPOCH, NEXT_SESSION);
        mSupervisor.onStartRun(start(EPOCH, SESSION));
        advanceTime(600);

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(rejections())
                .containsExactly(new RunRejected(EPOCH, RUN, RejectionReason.OTHER_SESSION));
        assertThat(lastReport().lastCommandNumber()).isZero();
    }

    /** Guards against a late stop that counts as a command of the current session. */
    @Test
    void ignoresStopOfEarlierSession() {
        mSupervisor.onOwnerSession(EPOCH, NEXT_SESSION);
        mSupervisor.onStopRun(new StopRun(EPOCH, SESSION, 7, RUN));
        advanceTime(600);

        assertThat(mWorker.mStops).isEmpty();
        assertThat(lastReport().lastCommandNumber()).isZero();
    }

    /** Guards against a rejection of a run that exists, after a duplicate of its start. */
    @Test
    void doesNotRejectPresentRunForStartOfEarlierSession() {
        mSupervisor.onStartRun(start(EPOCH, SESSION));
        mWorker.mRunning.add(new RunSample(RUN, "", 10, 0));
        advanceTime(600);
        mSupervisor.onOwnerSession(EPOCH, NEXT_SESSION);
        mSupervisor.onStartRun(start(EPOCH, SESSION));

        assertThat(rejections()).isEmpty();
    }

    /**
     * Guards against an agent whose reports are ignored for good: the announcement of an earlier
     * session arrives after that of a later one.
     */
    @Test
    void staysInLatestSessionWhenEarlierAnnouncementArrivesLate() {
        mSupervisor.onOwnerSession(EPOCH, NEXT_SESSION);
        mSupervisor.onOwnerSession(EPOCH, SESSION);
        advanceTime(600);

        assertThat(lastReport().session()).isEqualTo(NEXT_SESSION);
    }

    @Test
    void rejectsStartWithoutResponseOnlyAfterListingUnderHigherToken() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mUnresponsive = true;
        mWorker.mStartResponses.get(0).onError(new IllegalStateException("no response"));
        advanceTime(300);
        assertThat(rejections()).isEmpty();

        mWorker.mUnresponsive = false;
        advanceTime(200);

        assertThat(rejections())
                .containsExactly(new RunRejected(EPOCH, RUN, RejectionReason.UNAVAILABLE));
        assertThat(mWorker.mListTokens.get(mWorker.mListTokens.size() - 1))
                .isGreaterThan(FIRST_TOKEN);
    }

    /** Guards against a task that waits for the lease of a worker that its start never reached. */
    @Test
    void rejectsStartAtOnceThatWasCertainlyNotSent() {
        mWorker.mHoldsListings = true;
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mStartResponses.get(0).onError(new HttpCallException("refused", false));

        assertThat(rejections())
                .containsExactly(new RunRejected(EPOCH, RUN, RejectionReason.UNAVAILABLE));
    }

    @Test
    void keepsStartThatMayHaveBeenSent() {
        mWorker.mHoldsListings = true;
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mStartResponses.get(0).onError(new HttpCallException("silent", true));

        assertThat(rejections()).isEmpty();
    }

    /** Guards against a start that is taken for rejected although its run has ended already. */
    @Test
    void keepsStartWithoutResponseWhileListsArePartial() {
        mWorker.mCompleteness = ListCompleteness.PARTIAL;
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mStartResponses.get(0).onError(new IllegalStateException("no response"));
        advanceTime(500);
        assertThat(rejections()).isEmpty();

        mWorker.mCompleteness = ListCompleteness.COMPLETE;
        advanceTime(1_000);
        assertThat(rejections()).hasSize(1);
    }

    @Test
    void keepsStartWithoutResponseThatWorkerLists() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mRunning.add(new RunSample(RUN, "", 0, 0));
        mWorker.mStartResponses.get(0).onError(new IllegalStateException("no response"));
        advanceTime(500);

        assertThat(rejections()).isEmpty();
        assertThat(lastReport().running()).extracting(RunSample::run).containsExactly(RUN);
    }

    @Test
    void retriesFencedStartUnderHigherToken() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mStartResponses.get(0).onSuccess(RunCommandResult.FENCED);

        assertThat(mWorker.mStarts).hasSize(2);
        assertThat(mWorker.mStarts.get(1).fencingToken()).isGreaterThan(FIRST_TOKEN);
    }

    @Test
    void reportsPendingRunUntilListed() {
        mSupervisor.onStartRun(start(EPOCH));
        advanceTime(600);

        assertThat(lastReport().pending()).containsExactly(RUN);
        assertThat(lastReport().lastCommandNumber()).isEqualTo(1);
    }

    @Test
    void rejectsStartOnDrainingWorker() {
        mSupervisor.onWorkerDescribed(description(true));
        mSupervisor.onStartRun(start(EPOCH));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(rejections())
                .containsExactly(new RunRejected(EPOCH, RUN, RejectionReason.DRAINING));
    }

    private void acknowledge(long endNumber) {
        mSupervisor.onLeaseExtension(
                new LeaseExtension(EPOCH, 0, 0, Optional.of(mIncarnation), endNumber));
    }

    @Test
    void listsAgainAsSoonAsEndsAreAcknowledged() {
        mWorker.mEnded.add(new EndedRun(1, RUN, EndCause.DONE, ""));
        advanceTime(400);
        int before = mWorker.mListTokens.size();
        acknowledge(1);

        assertThat(mWorker.mListTokens).hasSize(before + 1);
        assertThat(mWorker.mAcknowledgedEndNumber).isEqualTo(1);
    }

    @Test
    void listsInOneSequenceHoweverManyAcknowledgementsArrive() {
        mWorker.mEnded.add(new EndedRun(9, RUN, EndCause.DONE, ""));
        for (int end = 1; end <= 5; end++) {
            advanceTime(30);
            acknowledge(end);
        }
        int before = mWorker.mListTokens.size();
        advanceTime(1_000);

        // One listing every 100 ms while the end is unacknowledged.
        assertThat(mWorker.mListTokens.size() - before).isBetween(9, 11);
    }

    private WorkerDescription description(long sequence) {
        return new WorkerDescription(
                mIncarnation,
                new ServiceName("booking"),
                new Resources(16_000, 64_000, 0),
                List.of("a", "r1-1"),
                false,
                0,
                sequence);
    }

    @Test
    void offersNoWorkerThatHasLeft() {
        mSupervisor.onWorkerLeft(mIncarnation.worker());
        mSupervisor.onStartRun(start(EPOCH));

        assertThat(lastReport().description()).isEmpty();
        assertThat(mWorker.mStarts).isEmpty();
        assertThat(rejections()).hasSize(1);
    }

    @Test
    void ignoresDelayedHeartbeatOfWorkerThatHasLeft() {
        mSupervisor.onWorkerDescribed(description(7L));
        mSupervisor.onWorkerLeft(mIncarnation.worker());
        mSupervisor.onWorkerDescribed(description(6L));
        mSupervisor.onWorkerDescribed(description(7L));
        advanceTime(1_000);

        assertThat(lastReport().description()).isEmpty();
    }

    @Test
    void offersWorkerAgainThatIsStillAlive() {
        mSupervisor.onWorkerDescribed(description(7L));
        mSupervisor.onWorkerLeft(mIncarnation.worker());
        mSupervisor.onWorkerDescribed(description(8L));

        assertThat(lastReport().description()).contains(description(8L));
    }

    @Test
    void ignoresLeaveOfAnotherWorker() {
        mSupervisor.onWorkerLeft(new WorkerId("i-0"));

        assertThat(lastReport().description()).isPresent();
    }

    @Test
    void rejectsStartForEarlierIncarnation() {
        mWorker.mStartedAtMs = 2_000;
        advanceTime(500);
        mSupervisor.onStartRun(start(EPOCH));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(rejections()).hasSize(1);
    }

    @Test
    void raisesTokenForNewIncarnationSoThatLateCommandsAreFenced() {
        mWorker.mStartedAtMs = 2_000;
        advanceTime(500);

        assertThat(mWorker.mListTokens.get(mWorker.mListTokens.size() - 1))
                .isGreaterThan(FIRST_TOKEN);
    }

    @Test
    void acknowledgesEndsOnlyWhenDurable() {
        mWorker.mEnded.add(new EndedRun(1, RUN, EndCause.DONE, ""));
        advanceTime(500);
        assertThat(lastReport().ended()).hasSize(1);
        assertThat(mWorker.mAcknowledgedEndNumber).isZero();

        mSupervisor.onLeaseExtension(new LeaseExtension(EPOCH, 0, 0, Optional.of(mIncarnation), 1));
        advanceTime(100);

        assertThat(mWorker.mAcknowledgedEndNumber).isEqualTo(1);
    }

    /**
     * Guards against an end that nobody has seen: a worker that restarts under the same ID takes
     * the acknowledgement of its earlier incarnation for one of its own ends.
     */
    @Test
    void acknowledgesNoEndToWorkerThatMayHaveRestarted() {
        mWorker.mEnded.add(new EndedRun(1, RUN, EndCause.DONE, ""));
        advanceTime(500);
        mWorker.mUnresponsive = true;
        advanceTime(200);
        acknowledge(1);
        RunId next = new RunId(RUN.task(), 2);
        mWorker.mStartedAtMs = 2_000;
        mWorker.mClockMs = 10;
        mWorker.mEnded.clear();
        mWorker.mEnded.add(new EndedRun(1, next, EndCause.DONE, ""));
        mWorker.mUnresponsive = false;
        mSupervisor.onWorkerDescribed(
                new WorkerDescription(
                        new WorkerIncarnation(new WorkerId("i-1"), 2_000),
                        new ServiceName("booking"),
                        new Resources(16_000, 64_000, 0),
                        List.of("a", "r1-1"),
                        false,
                        0,
                        1));
        advanceTime(1_000);

        assertThat(lastReport().ended()).extracting(EndedRun::run).containsExactly(next);
    }

    @Test
    void ignoresAcknowledgementForEarlierIncarnation() {
        mWorker.mEnded.add(new EndedRun(1, RUN, EndCause.DONE, ""));
        WorkerIncarnation earlier = new WorkerIncarnation(new WorkerId("i-1"), 500);
        mSupervisor.onLeaseExtension(new LeaseExtension(EPOCH, 0, 0, Optional.of(earlier), 1));
        advanceTime(500);

        assertThat(mWorker.mAcknowledgedEndNumber).isZero();
    }

    @Test
    void reportsLeaseExpiryOnlyWhenCertain() {
        advanceTime(500);
        mWorker.mUnresponsive = true;
        advanceTime(5_000);
        assertThat(lastReport().reachable()).isFalse();
        assertThat(lastReport().leaseExpired()).isFalse();

        advanceTime(10_000);

        assertThat(lastReport().leaseExpired()).isTrue();
    }

    /** Guards against a lease that counts as expired although a start has extended it. */
    @Test
    void reportsNoLeaseExpiryBeforeLeaseOfStartExpires() {
        // Leases that an earlier incarnation of the agent extended have expired.
        advanceTime(10_000);
        extendLease();
        mWorker.mHoldsListings = true;
        advanceTime(2_000);
        mSupervisor.onOwnerSession(EPOCH, NEXT_SESSION);
        extendLease();
        mSupervisor.onStartRun(start(EPOCH, NEXT_SESSION));
        long remainingMs = mWorker.mStarts.get(0).leaseDeadlineMs() - mWorker.mClockMs - 2_000;

        // The process is paused, so the listing fails only when the worker is unreachable.
        advanceTime(2_000);
        mWorker.mUnresponsive = true;
        FakeWorker.HeldListing held = mWorker.mHeldListings.get(0);
        held.response().onError(new IllegalStateException("no response"));
        advanceTime(remainingMs - 2_000);
        assertThat(lastReport().reachable()).isFalse();
        assertThat(lastReport().leaseExpired()).isFalse();

        advanceTime(1_000);
        assertThat(lastReport().leaseExpired()).isTrue();
    }

    /**
     * Guards against an agent that reports no incarnation any more: the wall clock was set back
     * before its worker started again.
     */
    @Test
    void adoptsLaterIncarnationWithLowerStartTime() {
        WorkerIncarnation later = new WorkerIncarnation(new WorkerId("i-1"), 400);
        mWorker.mStartedAtMs = 400;
        mSupervisor.onWorkerDescribed(description(later, false));
        advanceTime(600);
        mSupervisor.onWorkerDescribed(description(later, false));
        advanceTime(600);

        assertThat(lastReport().incarnation()).contains(later);
    }

    /** Guards against an incarnation that is given up for a delayed response of its predecessor. */
    @Test
    void keepsIncarnationWhenResponseOfPredecessorIsDelayed() {
        mWorker.mHoldsListings = true;
        advanceTime(600);
        FakeWorker.HeldListing held = mWorker.mHeldListings.get(0);
        mWorker.mHoldsListings = false;
        RunListing current = held.listing();
        new FakeWorker.HeldListing(
                        new RunListing(
                                false,
                                500,
                                current.clockMs() + 5,
                                List.of(),
                                List.of(),
                                ListCompleteness.COMPLETE),
                        held.response())
                .deliver();
        advanceTime(600);
        extendLease();
        mSupervisor.onStartRun(start(EPOCH));

        assertThat(lastReport().incarnation()).contains(mIncarnation);
        assertThat(mWorker.mStarts).hasSize(1);
    }

    private void restartWorker() {
        mWorker.mUnresponsive = true;
        advanceTime(300);
        mWorker.mUnresponsive = false;
        mWorker.mStartedAtMs += 5_000;
        mWorker.mClockMs = 100;
        mWorker.mAnsweredDeadlines.clear();
        mSupervisor.onWorkerDescribed(description(mRestarted, false));
    }

    /** Guards against a deadline on the clock of a life that may have ended. */
    @Test
    void sendsNoDeadlineUntilWorkerHasResponded() {
        restartWorker();
        extendLease();
        advanceTime(300);

        assertThat(mWorker.mAnsweredDeadlines).isNotEmpty().containsOnly(Optional.empty());
    }

    @Test
    void sendsDeadlineAgainOnceSameIncarnationHasResponded() {
        mWorker.mUnresponsive = true;
        advanceTime(300);
        mWorker.mUnresponsive = false;
        mWorker.mAnsweredDeadlines.clear();
        advanceTime(300);

        assertThat(mWorker.mAnsweredDeadlines.get(0)).isEmpty();
        assertThat(mWorker.mAnsweredDeadlines.get(1)).isPresent();
    }

    /**
     * Guards against a lease that counts as expired although a restarted worker took a deadline on
     * the clock of its former life, far ahead on its own.
     */
    @Test
    void countsLongestLeaseForRestartedWorker() {
        advanceTime(10_000);
        restartWorker();
        advanceTime(300);
        assertThat(lastReport().incarnation()).contains(mRestarted);
        assertThat(lastReport().leaseRemainingMs()).isGreaterThan(9_900);

        mWorker.mUnresponsive = true;
        advanceTime(9_900);
        assertThat(lastReport().leaseExpired()).isFalse();
        advanceTime(1_000);
        assertThat(lastReport().leaseExpired()).isTrue();
    }

    /**
     * Guards against a second run beside one that the worker has started after it restarted and
     * before a listing has shown that: it took the deadline as a time on its new clock.
     */
    @Test
    void reportsLongestLeaseForPendingRun() {
        advanceTime(10_000);
        mWorker.mClockMs += 10_000;
        advanceTime(1_000);
        extendLease();
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mUnresponsive = true;
        advanceTime(7_000);
        assertThat(lastReport().pending()).containsExactly(RUN);
        assertThat(lastReport().leaseExpired()).isTrue();
        assertThat(lastReport().pendingLeaseRemainingMs())
                .isBetween(10_200L - 7_000, 12_000L - 7_000);

        advanceTime(5_000);
        assertThat(lastReport().pendingLeaseRemainingMs()).isZero();
    }

    /** Guards against a longer wait for runs that a listing has shown since they were started. */
    @Test
    void reportsNoLongerLeaseForListedRun() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mRunning.add(new RunSample(RUN, "", 10, 0));
        advanceTime(1_000);

        assertThat(lastReport().pending()).isEmpty();
        assertThat(lastReport().pendingLeaseRemainingMs()).isZero();
    }

    /**
     * Guards against a task that starts again after its end: a restarted worker has executed the
     * start, and the end is not among those of its first listing.
     */
    @Test
    void keepsPendingRunIfFirstListingOfNewIncarnationIsPartial() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mCompleteness = ListCompleteness.PARTIAL;
        restartWorker();
        advanceTime(1_000);
        assertThat(lastReport().incarnation()).contains(mRestarted);
        assertThat(lastReport().pending()).containsExactly(RUN);
        assertThat(rejections()).isEmpty();

        mWorker.mCompleteness = ListCompleteness.COMPLETE;
        mWorker.mEnded.add(new EndedRun(501, RUN, EndCause.DONE, ""));
        advanceTime(1_000);
        assertThat(lastReport().ended()).hasSize(1);
        assertThat(lastReport().pending()).isEmpty();
        assertThat(rejections()).isEmpty();
    }

    /** Guards against a run that stays pending forever after its worker has restarted. */
    @Test
    void rejectsPendingRunOnceCompleteListingOfNewIncarnationOmitsIt() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mCompleteness = ListCompleteness.PARTIAL;
        restartWorker();
        advanceTime(1_000);
        assertThat(rejections()).isEmpty();

        mWorker.mCompleteness = ListCompleteness.COMPLETE;
        advanceTime(1_000);
        assertThat(rejections()).extracting(RunRejected::run).containsExactly(RUN);
        assertThat(lastReport().pending()).isEmpty();
    }

    /** Guards against a run that counts as absent because its end did not fit into the report. */
    @Test
    void reportsPartialListsIfEndsDoNotFit() {
        String checkpoint = "x".repeat(ReportSelection.MAXIMUM_CHARACTERS);
        mWorker.mEnded.add(new EndedRun(1, RUN, EndCause.LAPSED, checkpoint));
        RunId other = new RunId(RUN.task(), 2);
        mWorker.mEnded.add(new EndedRun(2, other, EndCause.LAPSED, checkpoint));
        advanceTime(1_000);
        assertThat(lastReport().ended()).extracting(EndedRun::run).containsExactly(RUN);
        assertThat(lastReport().completeness()).isEqualTo(ListCompleteness.PARTIAL);

        mSupervisor.onLeaseExtension(new LeaseExtension(EPOCH, 0, 0, Optional.of(mIncarnation), 1));
        advanceTime(1_000);
        assertThat(lastReport().ended()).extracting(EndedRun::run).containsExactly(other);
        assertThat(lastReport().completeness()).isEqualTo(ListCompleteness.COMPLETE);
    }

    @Test
    void retriesStopWhileRunIsListed() {
        mWorker.mRunning.add(new RunSample(RUN, "", 10, 0));
        mSupervisor.onStopRun(new StopRun(EPOCH, SESSION, 1, RUN));
        advanceTime(1_000);

        assertThat(mWorker.mStops.size()).isBetween(2, 5);
    }

    /**
     * Guards against a start that the next incarnation of the worker executes after it was reported
     * lost: the worker may restart under the same ID between the command and its execution.
     */
    @Test
    void reportsNewIncarnationOnlyAfterEarlierStartsAreRuledOut() {
        mSupervisor.onStartRun(start(EPOCH));
        long token = mWorker.mStarts.get(0).fencingToken();
        mWorker.mStartedAtMs = 2_000;
        mWorker.mClockMs = 10;
        mSupervisor.onWorkerDescribed(
                new WorkerDescription(
                        new WorkerIncarnation(new WorkerId("i-1"), 2_000),
                        new ServiceName("booking"),
                        new Resources(16_000, 64_000, 0),
                        List.of("a", "r1-1"),
                        false,
                        0,
                        1));
        advanceTime(1_000);

        int lastListing = mWorker.mListTokens.size() - 1;
        assertThat(mWorker.mListTokens.get(lastListing)).isGreaterThan(token);
        assertThat(lastReport().incarnation())
                .contains(new WorkerIncarnation(new WorkerId("i-1"), 2_000));
        assertThat(rejections()).hasSize(1);
    }

    @Test
    void keepsStartThatReachedNewIncarnation() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mStartedAtMs = 2_000;
        mWorker.mClockMs = 10;
        mWorker.mRunning.add(new RunSample(RUN, "", 0, 0));
        advanceTime(1_000);

        assertThat(rejections()).isEmpty();
        assertThat(lastReport().running()).hasSize(1);
    }

    @Test
    void sendsNoStartWhileNewIncarnationIsUnconfirmed() {
        mWorker.mStartedAtMs = 2_000;
        mWorker.mClockMs = 10;
        advanceTime(1_000);
        mSupervisor.onStartRun(start(EPOCH));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(rejections()).hasSize(1);
    }

    private void runBesideMissedTarget(long processorUse) {
        RunId latencyCritical = new RunId(new TaskKey(new JobId("00000000000000ab"), 0, 0, 0), 1);
        mSupervisor.onRunTraits(
                new RunTraits(EPOCH, latencyCritical, new TaskTraits("other", false, 100, 1_000)));
        mSupervisor.onRunTraits(new RunTraits(EPOCH, RUN, new TaskTraits("image", true, 0, 1_000)));
        mWorker.mRunning.add(new RunSample(latencyCritical, "", 100, 900));
        mWorker.mRunning.add(new RunSample(RUN, "", 50, processorUse));
        mWorker.mThrottlePercents.clear();
    }

    @Test
    void throttlesUnderHigherTokenAfterFencedThrottle() {
        runBesideMissedTarget(0);
        mWorker.mHighestOtherToken = FIRST_TOKEN + 1;
        advanceTime(3_000);

        assertThat(mWorker.mThrottlePercents).endsWith(0);
        assertThat(mWorker.mListTokens).last().isEqualTo(FIRST_TOKEN + 1);
    }

    /**
     * Guards against an earlier command that a worker executes after the one that stopped a run.
     */
    @Test
    void stopsRunAgainThatStillUsesProcessors() {
        runBesideMissedTarget(700);
        advanceTime(3_000);
        int sent = mWorker.mThrottlePercents.size();
        advanceTime(2_000);

        assertThat(mWorker.mThrottlePercents.subList(sent, mWorker.mThrottlePercents.size()))
                .isNotEmpty()
                .containsOnly(0);
    }
}
