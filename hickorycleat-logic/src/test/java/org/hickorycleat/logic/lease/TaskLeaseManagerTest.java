package org.hickorycleat.logic.lease;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.TaskUsage;
import org.hickorycleat.logic.port.WorkerAnswer;
import org.hickorycleat.logic.port.WorkerControl;
import org.hickorycleat.logic.port.WorkerListing;
import org.hickorycleat.logic.port.WorkerRenewal;
import org.hickorycleat.logic.port.WorkerStart;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.message.Fence;
import org.hickorycleat.model.message.LeaseGrant;
import org.hickorycleat.model.message.LeaseRequest;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.StartTask;
import org.hickorycleat.model.message.TaskAttempt;
import org.hickorycleat.model.message.WorkerSummary;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;

class TaskLeaseManagerTest {
    private static final ShardNumber SHARD = new ShardNumber(0);
    private static final ProcessId OWNER = new ProcessId("a");
    private static final ProcessId NEWER = new ProcessId("b");
    private static final TaskId TASK = new TaskId("job#r");

    private final TestScheduler mScheduler = new TestScheduler();
    private final StubWorker mWorker = new StubWorker();
    private final Sent mSent = new Sent();
    private final TaskLeaseManager mKeeper =
            new TaskLeaseManager(
                    mWorker, mSent, new Incarnation(3), LeaseSettings.DEFAULT, mScheduler);

    /** Guards against a lease that is counted from the arrival of its grant. */
    @Test
    void leaseIsCountedFromTheClockReadBeforeItsRequest() {
        mKeeper.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        mScheduler.advanceTimeBy(9_999, TimeUnit.MILLISECONDS);

        mKeeper.onMessage(OWNER, start(5, 1, mSent.lastRequest()));
        mKeeper.onMessage(OWNER, grant(5, mSent.lastRequest()));

        assertThat(mWorker.mStarts.get(0).leaseUntilMs()).isEqualTo(10_000);
        assertThat(mWorker.mRenewals.get(0).leaseUntilMs()).isEqualTo(10_000);
    }

    /** Guards against grants and starts that were delayed past their lease. */
    @Test
    void lateGrantHasExpired() {
        mKeeper.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        mScheduler.advanceTimeBy(10_000, TimeUnit.MILLISECONDS);

        mKeeper.onMessage(OWNER, start(5, 1, mSent.lastRequest()));
        mKeeper.onMessage(OWNER, grant(5, mSent.lastRequest()));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(mWorker.mRenewals).isEmpty();
        assertThat(mKeeper.counts().lateGrants()).isEqualTo(2);
    }

    /** Guards against starts of a replaced owner. */
    @Test
    void lowerEpochIsRefused() {
        mKeeper.onMessage(NEWER, new Fence(SHARD, new Epoch(6)));

        mKeeper.onMessage(OWNER, start(5, 1, mSent.lastRequest()));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(mKeeper.counts().staleEpochs()).isEqualTo(1);
    }

    /** Guards against lease requests that go to a replaced owner. */
    @Test
    void onlyTheOwnerOfTheHighestEpochIsAsked() {
        mKeeper.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        mKeeper.onMessage(NEWER, new Fence(SHARD, new Epoch(6)));
        mSent.mMessages.clear();
        mScheduler.advanceTimeBy(3_000, TimeUnit.MILLISECONDS);

        mKeeper.tick();

        assertThat(mSent.mMessages).hasSize(1);
        assertThat(mSent.mReceivers).last().isEqualTo(NEWER);
    }

    /** Guards against a start recorded for a worker that has since lost its memory. */
    @Test
    void startThatAnswersRequestOfEarlierIncarnationIsIgnored() {
        mKeeper.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        long before = mSent.lastRequest();
        mWorker.mIncarnation = 2;
        mKeeper.tick();

        mKeeper.onMessage(OWNER, start(5, 1, before));

        assertThat(mWorker.mStarts).isEmpty();
    }

    /** Guards against request numbers that repeat after a restart of the agent. */
    @Test
    void restartedAgentUsesHigherRequestNumbers() {
        mKeeper.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        long before = mSent.lastRequest();
        TaskLeaseManager restarted =
                new TaskLeaseManager(
                        mWorker, mSent, new Incarnation(4), LeaseSettings.DEFAULT, mScheduler);
        restarted.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));

        restarted.onMessage(OWNER, start(5, 1, before));

        assertThat(mSent.lastRequest()).isGreaterThan(before);
        assertThat(mWorker.mStarts).isEmpty();
    }

    /** Guards against a delayed start of an attempt that a newer one has replaced. */
    @Test
    void olderAttemptIsRefused() {
        mKeeper.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        mKeeper.onMessage(OWNER, start(5, 2, mSent.lastRequest()));

        mKeeper.onMessage(OWNER, start(5, 1, mSent.lastRequest()));

        assertThat(mWorker.mStarts).hasSize(1);
        assertThat(mKeeper.counts().staleAttempts()).isEqualTo(1);
    }

    private static StartTask start(long epoch, long attempt, long request) {
        return new StartTask(
                SHARD,
                new Epoch(epoch),
                TASK,
                new AttemptNumber(attempt),
                Resources.NONE,
                request,
                10_000,
                0,
                Optional.empty());
    }

    private static LeaseGrant grant(long epoch, long request) {
        return new LeaseGrant(
                SHARD,
                new Epoch(epoch),
                request,
                List.of(new TaskAttempt(SHARD, TASK, new AttemptNumber(1))),
                10_000);
    }

    private static final class Sent implements LeaseManagerOutput {
        private final List<Message> mMessages = new ArrayList<>();
        private final List<ProcessId> mReceivers = new ArrayList<>();

        @Override
        public void send(ProcessId owner, Message message) {
            mMessages.add(message);
            mReceivers.add(owner);
        }

        @Override
        public void publishWorker(WorkerSummary worker) {}

        long lastRequest() {
            return mMessages.stream()
                    .filter(LeaseRequest.class::isInstance)
                    .map(LeaseRequest.class::cast)
                    .reduce((first, second) -> second)
                    .orElseThrow()
                    .number();
        }
    }

    private static final class StubWorker implements WorkerControl {
        private final List<WorkerStart> mStarts = new ArrayList<>();
        private final List<WorkerRenewal> mRenewals = new ArrayList<>();
        private long mIncarnation = 1;

        @Override
        public Single<WorkerListing> list() {
            return Single.fromSupplier(
                    () ->
                            new WorkerListing(
                                    new WorkerId("w"),
                                    new Incarnation(mIncarnation),
                                    0,
                                    new RackId("r"),
                                    Resources.NONE,
                                    List.of()));
        }

        @Override
        public Single<WorkerAnswer> start(WorkerStart start) {
            mStarts.add(start);
            return answer();
        }

        @Override
        public Single<ResultCode> renew(WorkerRenewal renewal) {
            mRenewals.add(renewal);
            return Single.just(ResultCode.OK);
        }

        @Override
        public Single<WorkerAnswer> stop(
                ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
            return answer();
        }

        @Override
        public Single<WorkerAnswer> checkpoint(
                ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
            return answer();
        }

        @Override
        public Single<WorkerAnswer> throttle(
                ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt, int limit) {
            return answer();
        }

        @Override
        public Single<List<TaskUsage>> usage() {
            return Single.just(List.of());
        }

        @Override
        public Single<ResultCode> fence(ShardNumber shard, Epoch epoch) {
            return Single.just(ResultCode.OK);
        }

        private static Single<WorkerAnswer> answer() {
            return Single.just(new WorkerAnswer(ResultCode.OK, Optional.empty()));
        }
    }
}
