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

/** Runs one shard: feeds it the log, messages and time, and carries out what it decides. */
final class ShardRunner implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ShardRunner.class);
    private static final int READ_LIMIT = 500;
    private static final Duration READ_WAIT = Duration.ofSeconds(1);
    private static final long READ_RETRY_MS = 200;
    private static final long TICK_MS = 50;

    private final StreamName mStream;
    private final ShardOwner mOwner;
    private final LogService mLog;
    private final AgentLink mAgents;
    private final TaskReportObserver mObservation;
    private final Scheduler mScheduler;
    private final CompositeDisposable mRunning = new CompositeDisposable();
    private boolean mActing;

    ShardRunner(
            StreamName stream,
            ShardOwner owner,
            LogService log,
            AgentLink agents,
            TaskReportObserver observation,
            Scheduler scheduler) {
        mStream = stream;
        mOwner = owner;
        mLog = log;
        mAgents = agents;
        mObservation = observation;
        mScheduler = scheduler;
    }

    /** Starts to read the log and to tick. */
    void start() {
        mRunning.add(
                Completable.defer(this::readOnce)
                        .repeat()
                        .subscribeOn(mScheduler)
                        .subscribe(() -> {}, ShardRunner::failed));
        mRunning.add(
                mScheduler.schedulePeriodicallyDirect(
                        () -> handle(new ShardEvent.Tick()),
                        TICK_MS,
                        TICK_MS,
                        TimeUnit.MILLISECONDS));
    }

    /** Handles an event and carries out its effects in order. */
    synchronized void handle(ShardEvent event) {
        if (event instanceof ShardEvent.MessageReceived received
                && received.message() instanceof TaskReport report) {
            mObservation.onTaskReport(report, mOwner.explain(report.task()));
        }
        List<OwnerAction> effects = mOwner.onEvent(event);
        effects.forEach(this::carryOut);
        noteOwnership();
    }

    /** Takes the latencies that an agent reported beside its worker. */
    synchronized void onAgentReport(AgentReport report) {
        mObservation.onAgentReport(report);
    }

    /** Returns the state of the shard. */
    synchronized ShardDump dump() {
        return mOwner.dump();
    }

    /** Returns what is known of a task. */
    synchronized TaskExplanation explain(TaskId task) {
        return mOwner.explain(task);
    }

    @Override
    public void close() {
        mRunning.dispose();
    }

    private void carryOut(OwnerAction effect) {
        if (effect instanceof OwnerAction.SendMessage send) {
            // A message that is not sent is lost with its connection; the owner repeats it.
            mAgents.send(send.agent(), send.message());
            return;
        }
        if (effect instanceof OwnerAction.AppendRecord append) {
            mRunning.add(
                    mLog.append(append.stream(), append.payload())
                            .subscribe(
                                    offset -> {},
                                    error -> handle(new ShardEvent.AppendFailed(append.token()))));
        }
    }

    private Completable readOnce() {
        long requestedMs = mScheduler.now(TimeUnit.MILLISECONDS);
        return nextRead()
                .doOnSuccess(page -> handle(new ShardEvent.LogRead(page, READ_LIMIT, requestedMs)))
                .ignoreElement()
                .onErrorResumeNext(this::readFailed);
    }

    private synchronized Single<LogPage> nextRead() {
        return mLog.read(mStream, mOwner.nextOffset(), READ_LIMIT, READ_WAIT);
    }

    private Completable readFailed(Throwable error) {
        if (error instanceof LogTruncatedException truncated) {
            handle(new ShardEvent.LogTruncated(truncated.firstOffset()));
        } else {
            handle(new ShardEvent.LogReadFailed());
        }
        return Completable.timer(READ_RETRY_MS, TimeUnit.MILLISECONDS, mScheduler);
    }

    private void noteOwnership() {
        ShardDump dump = mOwner.dump();
        if (dump.acting() == mActing) {
            return;
        }
        mActing = dump.acting();
        LOG.event(mActing ? "shard_owned" : "shard_lost")
                .with("shard", dump.shard())
                .with("epoch", dump.epoch())
                .info();
    }

    private static void failed(Throwable cause) {
        LOG.event("shard_failed").with("cause", cause).error();
    }
}
