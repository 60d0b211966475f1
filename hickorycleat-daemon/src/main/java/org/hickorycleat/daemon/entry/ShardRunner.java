package org.hickorycleat.daemon.entry;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.ownership.OwnerAction;
import org.hickorycleat.logic.ownership.ShardDump;
import org.hickorycleat.logic.ownership.ShardEvent;
import org.hickorycleat.logic.ownership.ShardOwner;
import org.hickorycleat.logic.ownership.TaskExplanation;
import org.hickorycleat.logic.port.AgentLink;
import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.logic.port.LogService;
import org.hickorycleat.logic.port.LogTruncatedException;
import org.hickorycleat.model.identifier.StreamName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.TaskReport;

/**
 * Runs one shard: passes log records, messages and clock ticks to its owner logic and executes the
 * resulting actions.
 */
final class ShardRunner implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ShardRunner.class);
    private static final int READ_LIMIT_RECORDS = 500;
    private static final Duration READ_WAIT = Duration.ofSeconds(1);
    private static final long READ_RETRY_DELAY_MS = 200;
    private static final long TICK_INTERVAL_MS = 50;

    private final StreamName mStream;
    private final ShardOwner mOwner;
    private final LogService mLog;
    private final AgentLink mAgents;
    private final TaskReportObserver mReportObserver;
    private final Scheduler mScheduler;
    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private boolean mIsOwner;

    ShardRunner(
            StreamName stream,
            ShardOwner owner,
            LogService log,
            AgentLink agents,
            TaskReportObserver reportObserver,
            Scheduler scheduler) {
        mStream = stream;
        mOwner = owner;
        mLog = log;
        mAgents = agents;
        mReportObserver = reportObserver;
        mScheduler = scheduler;
    }

    /** Starts reading the log and the periodic ticks. */
    void start() {
        mSubscriptions.add(
                Completable.defer(this::readOnce)
                        .repeat()
                        .subscribeOn(mScheduler)
                        .subscribe(() -> {}, ShardRunner::logFailure));
        mSubscriptions.add(
                mScheduler.schedulePeriodicallyDirect(
                        () -> handle(new ShardEvent.Tick()),
                        TICK_INTERVAL_MS,
                        TICK_INTERVAL_MS,
                        TimeUnit.MILLISECONDS));
    }

    /** Handles an event and executes the resulting actions in order. */
    synchronized void handle(ShardEvent event) {
        if (event instanceof ShardEvent.MessageReceived received
                && received.message() instanceof TaskReport report) {
            mReportObserver.onTaskReport(report, mOwner.explain(report.task()));
        }
        List<OwnerAction> actions = mOwner.onEvent(event);
        actions.forEach(this::execute);
        logOwnershipChange();
    }

    /** Passes an agent's report of its worker and of target latencies to the scheduling policy. */
    synchronized void onAgentReport(AgentReport report) {
        mReportObserver.onAgentReport(report);
    }

    /** Returns the state of the shard. */
    synchronized ShardDump dump() {
        return mOwner.dump();
    }

    /** Returns the explanation of a task. */
    synchronized TaskExplanation explain(TaskId task) {
        return mOwner.explain(task);
    }

    @Override
    public void close() {
        mSubscriptions.dispose();
    }

    private void execute(OwnerAction action) {
        if (action instanceof OwnerAction.SendMessage send) {
            // A message that cannot be sent is lost with its connection; the owner sends it again.
            mAgents.send(send.agent(), send.message());
            return;
        }
        if (action instanceof OwnerAction.AppendRecord append) {
            mSubscriptions.add(
                    mLog.append(append.stream(), append.payload())
                            .subscribe(
                                    offset -> {},
                                    error -> handle(new ShardEvent.AppendFailed(append.token()))));
        }
    }

    private Completable readOnce() {
        long requestedMs = mScheduler.now(TimeUnit.MILLISECONDS);
        return readNextPage()
                .doOnSuccess(
                        page ->
                                handle(
                                        new ShardEvent.LogRead(
                                                page, READ_LIMIT_RECORDS, requestedMs)))
                .ignoreElement()
                .onErrorResumeNext(this::onReadFailed);
    }

    private synchronized Single<LogPage> readNextPage() {
        return mLog.read(mStream, mOwner.nextOffset(), READ_LIMIT_RECORDS, READ_WAIT);
    }

    private Completable onReadFailed(Throwable error) {
        if (error instanceof LogTruncatedException truncated) {
            handle(new ShardEvent.LogTruncated(truncated.firstOffset()));
        } else {
            handle(new ShardEvent.LogReadFailed());
        }
        return Completable.timer(READ_RETRY_DELAY_MS, TimeUnit.MILLISECONDS, mScheduler);
    }

    private void logOwnershipChange() {
        ShardDump dump = mOwner.dump();
        if (dump.acting() == mIsOwner) {
            return;
        }
        mIsOwner = dump.acting();
        LOG.event(mIsOwner ? "shard_owned" : "shard_lost")
                .with("shard", dump.shard())
                .with("epoch", dump.epoch())
                .info();
    }

    private static void logFailure(Throwable cause) {
        LOG.event("shard_failed").with("cause", cause).error();
    }
}
