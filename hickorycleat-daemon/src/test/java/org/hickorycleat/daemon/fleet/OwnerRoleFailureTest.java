package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.logic.directory.IncarnationHistory;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.directory.PastJobRemover;
import org.hickorycleat.logic.dispatch.DispatchSettings;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.logic.port.StoreUnavailableException;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.AppendResult;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OwnerRoleFailureTest implements RecordStore, FleetLinkListener {
    private static final FleetNode SELF =
            new FleetNode(
                    new ProcessId("entry-1"),
                    ProcessRole.ENTRY,
                    new ZoneId("north"),
                    "127.0.0.1",
                    1,
                    1_000,
                    0);
    private static final int MAXIMUM_LEASE_MS = 6_000;
    private static final int MAXIMUM_RECORD_BYTES = 262_144;

    private final TestScheduler mScheduler = new TestScheduler();
    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final SingleSubject<AppendOutcome> mOutcome = SingleSubject.create();
    private int mFencedCount;

    @Override
    public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
        return mOutcome;
    }

    @Override
    public Single<StorePage> read(StoreReadRequest request) {
        return Single.error(new StoreUnavailableException("down"));
    }

    @Override
    public void onConnected(FleetNode peer) {}

    @Override
    public void onDisconnected(FleetNode peer) {}

    @Override
    public void onMessage(FleetNode peer, Message message) {}

    @AfterEach
    void stopEventLoops() {
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private OwnerRole owner(DecisionLog log) {
        ProcessMetrics metrics = new ProcessMetrics();
        MessageTransport transport = new MessageTransport(mEventLoops, metrics.transportMetrics());
        return new OwnerRole(
                SELF,
                new Epoch(7),
                new RelayingRecordStore(
                        this, (peer, message) -> false, Optional::empty, mScheduler),
                new FleetLinks(transport, SELF, this, mScheduler),
                new JobDirectory(() -> 0),
                new IncarnationHistory(),
                new JobLogCodec(),
                mScheduler,
                DispatchSettings.of(MAXIMUM_LEASE_MS),
                MAXIMUM_RECORD_BYTES,
                new PastJobRemover(new JobDirectory(() -> 0), 0),
                log,
                backlogs -> {},
                () -> mFencedCount++);
    }

    private static JobProgress progress() {
        return new JobProgress(new JobId("00000000000000a1"), JobState.RUNNING, List.of());
    }

    @Test
    void reportsRejectionAsFenced() {
        owner(DecisionLog.NONE).persistProgress(List.of(progress()), () -> {});

        mOutcome.onSuccess(new AppendOutcome(AppendResult.FENCED, 0));

        assertThat(mFencedCount).isEqualTo(1);
    }

    /** Guards against an owner of a later epoch that is stopped by an append of an earlier one. */
    @Test
    void ignoresRejectionAfterItWasStopped() {
        OwnerRole owner = owner(DecisionLog.NONE);
        owner.persistProgress(List.of(progress()), () -> {});
        owner.stop();

        mOutcome.onSuccess(new AppendOutcome(AppendResult.FENCED, 0));

        assertThat(mFencedCount).isZero();
    }

    /** Guards against an owner that no longer schedules but still counts as alive. */
    @Test
    void givesUpOwnershipWhenSchedulingFails() {
        OwnerRole owner =
                owner(
                        (event, pairs) -> {
                            throw new IllegalStateException(event);
                        });
        Throwable thrown =
                catchThrowable(
                        () -> {
                            owner.start(Optional.empty(), Set::of);
                            mScheduler.advanceTimeBy(20, TimeUnit.SECONDS);
                        });

        assertThat(thrown).isNull();
        assertThat(mFencedCount).isEqualTo(1);
    }

    private Throwable complete(OwnerRole owner, Runnable onDurable) {
        return catchThrowable(
                () -> {
                    owner.persistProgress(List.of(progress()), onDurable);
                    mOutcome.onSuccess(new AppendOutcome(AppendResult.APPENDED, 0));
                    mScheduler.advanceTimeBy(20, TimeUnit.SECONDS);
                });
    }

    /** Guards against an owner that waits for ever for actions that failed. */
    @Test
    void givesUpOwnershipWhenActionAfterAppendFails() {
        Throwable thrown =
                complete(
                        owner(DecisionLog.NONE),
                        () -> {
                            throw new IllegalStateException("action");
                        });

        assertThat(thrown).isNull();
        assertThat(mFencedCount).isEqualTo(1);
    }

    /** Guards against an owner that waits for ever for an append that was never sent. */
    @Test
    void givesUpOwnershipWhenProgressCannotBeEncoded() {
        OwnerRole owner = owner(DecisionLog.NONE);
        Throwable thrown =
                catchThrowable(
                        () -> {
                            owner.persistProgress(Collections.singletonList(null), () -> {});
                            mScheduler.advanceTimeBy(20, TimeUnit.SECONDS);
                        });

        assertThat(thrown).isNull();
        assertThat(mFencedCount).isEqualTo(1);
    }

    private static WorkerReport report() {
        return new WorkerReport(
                1,
                new Epoch(7),
                1,
                Optional.empty(),
                Optional.of(new WorkerIncarnation(new WorkerId("i-1"), 1)),
                0,
                List.of(),
                List.of(),
                List.of(),
                ListCompleteness.COMPLETE,
                false,
                0,
                0,
                true,
                100);
    }

    /** Guards against an owner that drops the reports of an agent for ever. */
    @Test
    void givesUpOwnershipWhenReportCannotBeHandled() {
        OwnerRole owner =
                owner(
                        (event, pairs) -> {
                            if (event.equals("worker_life")) {
                                throw new IllegalStateException(event);
                            }
                        });
        ProcessId agent = new ProcessId("agent-1");
        owner.onAgentConnected(agent);
        Throwable thrown =
                catchThrowable(
                        () -> {
                            owner.onWorkerReport(agent, report());
                            mScheduler.advanceTimeBy(20, TimeUnit.SECONDS);
                        });

        assertThat(thrown).isNull();
        assertThat(mFencedCount).isEqualTo(1);
    }

    @Test
    void countsAgeOfAppendUntilItIsDurable() {
        OwnerRole owner = owner(DecisionLog.NONE);
        assertThat(owner.pendingAppendAgeMs()).isZero();
        owner.persistProgress(List.of(progress()), () -> {});
        mScheduler.advanceTimeBy(3, TimeUnit.SECONDS);
        assertThat(owner.pendingAppendAgeMs()).isEqualTo(3_000);

        mOutcome.onSuccess(new AppendOutcome(AppendResult.APPENDED, 0));

        assertThat(owner.pendingAppendAgeMs()).isZero();
    }
}
