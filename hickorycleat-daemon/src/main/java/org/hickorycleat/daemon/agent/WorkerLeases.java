package org.hickorycleat.daemon.agent;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.hickorycleat.daemon.worker.HttpWorkerControl;
import org.hickorycleat.logic.lease.LeaseManagerOutput;
import org.hickorycleat.logic.lease.LeaseSettings;
import org.hickorycleat.logic.lease.TaskLeaseManager;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.WorkerSummary;

/** The worker beside the agent: runs the lease keeper and carries its messages. */
final class WorkerLeases implements LeaseManagerOutput, AutoCloseable {
    private static final long TICK_MS = 1_000;
    private static final long CONNECT_TIMEOUT_MS = 500;

    private final TaskLeaseManager mKeeper;
    private final Scheduler mScheduler;
    private final Supplier<EntrySessions> mEntries;
    private final Runnable mReport;
    private final OkHttpClient mClient =
            new OkHttpClient.Builder()
                    .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .build();
    private final CompositeDisposable mRunning = new CompositeDisposable();
    private volatile Optional<WorkerSummary> mSummary = Optional.empty();

    WorkerLeases(
            HttpUrl worker,
            Incarnation agent,
            Scheduler scheduler,
            Supplier<EntrySessions> entries,
            Runnable report) {
        mScheduler = scheduler;
        mEntries = entries;
        mReport = report;
        mKeeper =
                new TaskLeaseManager(
                        new HttpWorkerControl(mClient, worker),
                        this,
                        agent,
                        LeaseSettings.DEFAULT,
                        scheduler);
    }

    /** Starts to list the worker and to request leases. */
    void start() {
        mRunning.add(
                mScheduler.schedulePeriodicallyDirect(
                        mKeeper::tick, 0, TICK_MS, TimeUnit.MILLISECONDS));
    }

    /** Returns the state of the worker as last listed. */
    Optional<WorkerSummary> summary() {
        return mSummary;
    }

    /** Handles a message of an owner. */
    void onMessage(ProcessId owner, Message message) {
        mKeeper.onMessage(owner, message);
    }

    /** The connection to an entry is lost. */
    void onEntryDisconnected(ProcessId entry) {
        mKeeper.disconnected(entry);
    }

    /** Returns the counters for the dump. */
    Object counts() {
        return mKeeper.counts();
    }

    @Override
    public void send(ProcessId owner, Message message) {
        mEntries.get().send(owner, message);
    }

    @Override
    public void publishWorker(WorkerSummary worker) {
        boolean restarted =
                !mSummary.map(WorkerSummary::incarnation).equals(Optional.of(worker.incarnation()));
        mSummary = Optional.of(worker);
        if (restarted) {
            // Owners must learn of the restart before anything that is sent later.
            mReport.run();
        }
    }

    @Override
    public void close() {
        mRunning.dispose();
        mClient.dispatcher().executorService().shutdown();
    }
}
