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

/** Runs the lease manager for the local worker and relays its messages. */
final class WorkerLeases implements LeaseManagerOutput, AutoCloseable {
    private static final long TICK_INTERVAL_MS = 1_000;
    private static final long CONNECT_TIMEOUT_MS = 500;

    private final TaskLeaseManager mLeaseManager;
    private final Scheduler mScheduler;
    private final Supplier<EntrySessions> mEntrySessions;
    private final Runnable mSendReport;
    private final OkHttpClient mClient =
            new OkHttpClient.Builder()
                    .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .build();
    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private volatile Optional<WorkerSummary> mSummary = Optional.empty();

    WorkerLeases(
            HttpUrl workerUrl,
            Incarnation agent,
            Scheduler scheduler,
            Supplier<EntrySessions> entrySessions,
            Runnable sendReport) {
        mScheduler = scheduler;
        mEntrySessions = entrySessions;
        mSendReport = sendReport;
        mLeaseManager =
                new TaskLeaseManager(
                        new HttpWorkerControl(mClient, workerUrl),
                        this,
                        agent,
                        LeaseSettings.DEFAULT,
                        scheduler);
    }

    /** Starts listing the tasks of the worker and requesting leases. */
    void start() {
        mSubscriptions.add(
                mScheduler.schedulePeriodicallyDirect(
                        mLeaseManager::tick, 0, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS));
    }

    /** Returns the state of the worker at its last listing. */
    Optional<WorkerSummary> summary() {
        return mSummary;
    }

    /** Handles a message from an owner. */
    void onMessage(ProcessId owner, Message message) {
        mLeaseManager.onMessage(owner, message);
    }

    /** Handles the loss of the connection to an entry. */
    void onEntryDisconnected(ProcessId entry) {
        mLeaseManager.disconnected(entry);
    }

    /** Returns the counters for the dump. */
    Object counts() {
        return mLeaseManager.counts();
    }

    @Override
    public void send(ProcessId owner, Message message) {
        mEntrySessions.get().send(owner, message);
    }

    @Override
    public void publishWorker(WorkerSummary worker) {
        boolean restarted =
                !mSummary.map(WorkerSummary::incarnation).equals(Optional.of(worker.incarnation()));
        mSummary = Optional.of(worker);
        if (restarted) {
            // Owners must be notified of the restart before any later message.
            mSendReport.run();
        }
    }

    @Override
    public void close() {
        mSubscriptions.dispose();
        mClient.dispatcher().executorService().shutdown();
    }
}
