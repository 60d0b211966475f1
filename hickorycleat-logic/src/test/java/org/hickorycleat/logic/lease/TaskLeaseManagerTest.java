package org.hickorycleat.logic.lease;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.TaskUsage;
import org.hickorycleat.logic.port.WorkerControl;
import org.hickorycleat.logic.port.WorkerListing;
import org.hickorycleat.logic.port.WorkerRenewal;
import org.hickorycleat.logic.port.WorkerResponse;
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
    private static final ProcessId NEXT_OWNER = new ProcessId("b");
    private static final TaskId TASK = new TaskId("job#r");

    private final TestScheduler mScheduler = new TestScheduler();
    private final StubWorker mWorker = new StubWorker();
    private final RecordingOutput mOutput = new RecordingOutput();
    private final TaskLeaseManager mManager =
            new TaskLeaseManager(
                    mWorker, mOutput, new Incarnation(3), LeaseSettings.DEFAULT, mScheduler);

    /** Guards against a lease that starts when its grant arrives. */
    @Test
    void leaseStartsAtTheClockReadingBeforeItsRequest() {
        mManager.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        mScheduler.advanceTimeBy(9_999, TimeUnit.MILLISECONDS);

        mManager.onMessage(OWNER, start(5, 1, mOutput.lastRequestNumber()));
        mManager.onMessage(OWNER, grant(5, mOutput.lastRequestNumber()));

        assertThat(mWorker.mStarts.get(0).leaseUntilMs()).isEqualTo(10_000);
        assertThat(mWorker.mRenewals.get(0).leaseUntilMs()).isEqualTo(10_000);
    }

    /** Guards against grants and starts that arrive after the lease has expired. */
    @Test
    void rejectsGrantsAndStartsWithExpiredLease() {
        mManager.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        mScheduler.advanceTimeBy(10_000, TimeUnit.MILLISECONDS);

        mManager.onMessage(OWNER, start(5, 1, mOutput.lastRequestNumber()));
        mManager.onMessage(OWNER, grant(5, mOutput.lastRequestNumber()));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(mWorker.mRenewals).isEmpty();
        assertThat(mManager.counts().lateGrants()).isEqualTo(2);
    }

    /** Guards against starts by a previous owner. */
    @Test
    void rejectsStartsWithLowerEpoch() {
        mManager.onMessage(NEXT_OWNER, new Fence(SHARD, new Epoch(6)));

        mManager.onMessage(OWNER, start(5, 1, mOutput.lastRequestNumber()));

        assertThat(mWorker.mStarts).isEmpty();
        assertThat(mManager.counts().staleEpochs()).isEqualTo(1);
    }

    /** Guards against lease requests sent to a previous owner. */
    @Test
    void requestsLeasesOnlyFromTheOwnerOfTheHighestEpoch() {
        mManager.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        mManager.onMessage(NEXT_OWNER, new Fence(SHARD, new Epoch(6)));
        mOutput.mSentMessages.clear();
        mScheduler.advanceTimeBy(3_000, TimeUnit.MILLISECONDS);

        mManager.tick();

        assertThat(mOutput.mSentMessages).hasSize(1);
        assertThat(mOutput.mReceivers).last().isEqualTo(NEXT_OWNER);
    }

    /** Guards against a start recorded for a worker that has restarted since and lost its state. */
    @Test
    void ignoresStartsForRequestOfPreviousIncarnation() {
        mManager.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        long previousRequest = mOutput.lastRequestNumber();
        mWorker.mIncarnation = 2;
        mManager.tick();

        mManager.onMessage(OWNER, start(5, 1, previousRequest));

        assertThat(mWorker.mStarts).isEmpty();
    }

    /** Guards against request numbers that repeat after a restart of the agent. */
    @Test
    void restartedAgentUsesHigherRequestNumbers() {
        mManager.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        long previousRequest = mOutput.lastRequestNumber();
        TaskLeaseManager restarted =
                new TaskLeaseManager(
                        mWorker, mOutput, new Incarnation(4), LeaseSettings.DEFAULT, mScheduler);
        restarted.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));

        restarted.onMessage(OWNER, start(5, 1, previousRequest));

        assertThat(mOutput.lastRequestNumber()).isGreaterThan(previousRequest);
        assertThat(mWorker.mStarts).isEmpty();
    }

    /** Guards against a delayed start of an attempt that was replaced by a newer one. */
    @Test
    void rejectsStartsOfOlderAttempts() {
        mManager.onMessage(OWNER, new Fence(SHARD, new Epoch(5)));
        mManager.onMessage(OWNER, start(5, 2, mOutput.lastRequestNumber()));

        mManager.onMessage(OWNER, start(5, 1, mOutput.lastRequestNumber()));

        assertThat(mWorker.mStarts).hasSize(1);
        assertThat(mManager.counts().staleAttempts()).isEqualTo(1);
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

    private static final class RecordingOutput implements LeaseManagerOutput {
        private final List<Message> mSentMessages = new ArrayList<>();
        private final List<ProcessId> mReceivers = new ArrayList<>();

        @Override
        public void send(ProcessId owner, Message message) {
            mSentMessages.add(message);
            mReceivers.add(owner);
        }

        @Override
        public void publishWorker(WorkerSummary worker) {}

        long lastRequestNumber() {
            return mSentMessages.stream()
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
        public Single<WorkerResponse> start(WorkerStart start) {
            mStarts.add(start);
            return response();
        }

        @Override
        public Single<ResultCode> renew(WorkerRenewal renewal) {
            mRenewals.add(renewal);
            return Single.just(ResultCode.OK);
        }

        @Override
        public Single<WorkerResponse> stop(
                ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
            return response();
        }

        @Override
        public Single<WorkerResponse> checkpoint(
                ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
            return response();
        }

        @Override
        public Single<WorkerResponse> throttle(
                ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt, int limit) {
            return response();
        }

        @Override
        public Single<List<TaskUsage>> usage() {
            return Single.just(List.of());
        }

        @Override
        public Single<ResultCode> fence(ShardNumber shard, Epoch epoch) {
            return Single.just(ResultCode.OK);
        }

        private static Single<WorkerResponse> response() {
            return Single.just(new WorkerResponse(ResultCode.OK, Optional.empty()));
        }
    }
}
