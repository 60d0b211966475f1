package org.hickorycleat.logic.supervision;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.RunCommandResult;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.JobId;
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
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.StopRun;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RunSupervisorTest {
    private static final Epoch EPOCH = new Epoch(5);
    private static final int LEASE_MS = 6_000;
    private static final long FIRST_TOKEN = 100;
    private static final RunId RUN =
            new RunId(new TaskKey(new JobId("00000000000000aa"), 0, 0, 0), 1);

    private final TestScheduler mScheduler = new TestScheduler();
    private final FakeWorker mWorker = new FakeWorker();
    private final List<Message> mSent = new ArrayList<>();
    private final WorkerIncarnation mLife = new WorkerIncarnation(new WorkerId("i-1"), 1_000);
    private final RunSupervisor mSupervisor =
            new RunSupervisor(
                    mWorker,
                    mSent::add,
                    mScheduler,
                    SupervisorSettings.of(10_000),
                    FIRST_TOKEN,
                    DecisionLog.NONE);
    private long mOrder;

    @BeforeEach
    void startWithLease() {
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        mSupervisor.start();
        mSupervisor.onOwnerSession(EPOCH, 1);
        mSupervisor.onWorkerDescribed(description(false));
        extendLease();
    }

    private WorkerDescription description(boolean draining) {
        return new WorkerDescription(
                mLife,
                new ServiceName("booking"),
                new Resources(16_000, 64_000, 0),
                List.of("a", "r1-1"),
                draining,
                0,
                draining ? 2 : 1);
    }

    private void extendLease() {
        mSupervisor.onLeaseExtension(
                new LeaseExtension(EPOCH, lastReport().number(), LEASE_MS, Optional.of(mLife), 0));
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
        mOrder++;
        return new StartRun(
                epoch,
                mOrder,
                mLife,
                RUN,
                "payload",
                Optional.empty(),
                Optional.empty(),
                new TaskTraits("image", true, 0, 1_000));
    }

    private void pass(long milliseconds) {
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
    void ignoresOrdersOfOlderEpoch() {
        mSupervisor.onStartRun(start(new Epoch(4)));
        mSupervisor.onStopRun(new StopRun(new Epoch(4), 1, RUN));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(mWorker.mStops).isEmpty();
    }

    @Test
    void rejectsUnansweredStartOnlyAfterListingUnderHigherToken() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mSilent = true;
        mWorker.mStartAnswers.get(0).onError(new IllegalStateException("no answer"));
        pass(300);
        assertThat(rejections()).isEmpty();

        mWorker.mSilent = false;
        pass(200);

        assertThat(rejections())
                .containsExactly(new RunRejected(EPOCH, RUN, RejectionReason.UNAVAILABLE));
        assertThat(mWorker.mListTokens.get(mWorker.mListTokens.size() - 1))
                .isGreaterThan(FIRST_TOKEN);
    }

    @Test
    void keepsUnansweredStartThatTheWorkerLists() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mRunning.add(new RunSample(RUN, "", 0, 0));
        mWorker.mStartAnswers.get(0).onError(new IllegalStateException("no answer"));
        pass(500);

        assertThat(rejections()).isEmpty();
        assertThat(lastReport().running()).extracting(RunSample::run).containsExactly(RUN);
    }

    @Test
    void repeatsFencedStartUnderHigherToken() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mStartAnswers.get(0).onSuccess(RunCommandResult.FENCED);

        assertThat(mWorker.mStarts).hasSize(2);
        assertThat(mWorker.mStarts.get(1).fencingToken()).isGreaterThan(FIRST_TOKEN);
    }

    @Test
    void reportsPendingRunUntilListed() {
        mSupervisor.onStartRun(start(EPOCH));
        pass(600);

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

    @Test
    void rejectsStartForEarlierLife() {
        mWorker.mStartedAtMs = 2_000;
        pass(500);
        mSupervisor.onStartRun(start(EPOCH));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(rejections()).hasSize(1);
    }

    @Test
    void raisesTokenForNewLifeSoThatLateOrdersAreFenced() {
        mWorker.mStartedAtMs = 2_000;
        pass(500);

        assertThat(mWorker.mListTokens.get(mWorker.mListTokens.size() - 1))
                .isGreaterThan(FIRST_TOKEN);
    }

    @Test
    void acknowledgesEndsOnlyWhenDurable() {
        mWorker.mEnded.add(new EndedRun(1, RUN, EndCause.DONE, ""));
        pass(500);
        assertThat(lastReport().ended()).hasSize(1);
        assertThat(mWorker.mAcknowledged).isZero();

        mSupervisor.onLeaseExtension(new LeaseExtension(EPOCH, 0, 0, Optional.of(mLife), 1));
        pass(100);

        assertThat(mWorker.mAcknowledged).isEqualTo(1);
    }

    @Test
    void ignoresAcknowledgementForEarlierLife() {
        mWorker.mEnded.add(new EndedRun(1, RUN, EndCause.DONE, ""));
        WorkerIncarnation earlier = new WorkerIncarnation(new WorkerId("i-1"), 500);
        mSupervisor.onLeaseExtension(new LeaseExtension(EPOCH, 0, 0, Optional.of(earlier), 1));
        pass(500);

        assertThat(mWorker.mAcknowledged).isZero();
    }

    @Test
    void tellsThatLeaseExpiredOnlyAfterItCertainlyHas() {
        pass(500);
        mWorker.mSilent = true;
        pass(5_000);
        assertThat(lastReport().reachable()).isFalse();
        assertThat(lastReport().leaseExpired()).isFalse();

        pass(10_000);

        assertThat(lastReport().leaseExpired()).isTrue();
    }

    @Test
    void repeatsStopWhileRunIsListed() {
        mWorker.mRunning.add(new RunSample(RUN, "", 10, 0));
        mSupervisor.onStopRun(new StopRun(EPOCH, 1, RUN));
        pass(1_000);

        assertThat(mWorker.mStops.size()).isBetween(2, 5);
    }

    /** The worker may restart under its id between the order and its execution. */
    @Test
    void reportsNewLifeOnlyAfterAllEarlierStartsAreRuledOut() {
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
        pass(1_000);

        int confirming = mWorker.mListTokens.size() - 1;
        assertThat(mWorker.mListTokens.get(confirming)).isGreaterThan(token);
        assertThat(lastReport().incarnation())
                .contains(new WorkerIncarnation(new WorkerId("i-1"), 2_000));
        assertThat(rejections()).hasSize(1);
    }

    @Test
    void keepsStartThatReachedTheNewLife() {
        mSupervisor.onStartRun(start(EPOCH));
        mWorker.mStartedAtMs = 2_000;
        mWorker.mClockMs = 10;
        mWorker.mRunning.add(new RunSample(RUN, "", 0, 0));
        pass(1_000);

        assertThat(rejections()).isEmpty();
        assertThat(lastReport().running()).hasSize(1);
    }

    @Test
    void sendsNoStartWhileTheNewLifeIsNotConfirmed() {
        mWorker.mStartedAtMs = 2_000;
        mWorker.mClockMs = 10;
        pass(1_000);
        mSupervisor.onStartRun(start(EPOCH));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(rejections()).hasSize(1);
    }
}
