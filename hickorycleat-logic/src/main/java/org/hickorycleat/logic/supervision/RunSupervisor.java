package org.hickorycleat.logic.supervision;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.HttpCallException;
import org.hickorycleat.logic.port.RunCommandResult;
import org.hickorycleat.logic.port.RunListing;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.logic.port.StartRunCommand;
import org.hickorycleat.logic.port.WorkerRuntime;
import org.hickorycleat.logic.port.WorkerStatusListener;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.RejectionReason;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskTraits;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.message.InterferenceWeights;
import org.hickorycleat.model.message.LeaseExtension;
import org.hickorycleat.model.message.RunRejected;
import org.hickorycleat.model.message.RunTraits;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.StopRun;
import org.hickorycleat.model.message.WorkerReport;

/**
 * Executes the commands of the owner on the local worker and reports its runs.
 *
 * <p>The agent is the only client of its worker, so its fencing token decides which commands are
 * executed. A start without a response is resolved by a listing under a higher token: a run that is
 * not listed then will never start.
 */
public final class RunSupervisor implements WorkerStatusListener {
    /** Delay before the next listing after a listing without a response, in milliseconds. */
    private static final long RETRY_DELAY_MS = 100;

    /** Pause between listings in case the worker responds without waiting, in milliseconds. */
    private static final long LIST_PAUSE_MS = 10;

    /**
     * Pause between listings while starts or ends are unconfirmed, in milliseconds; an
     * acknowledgement ends it.
     */
    private static final long UNACKNOWLEDGED_PAUSE_MS = 100;

    /** Time without a response after which the worker counts as unreachable, in milliseconds. */
    private static final long UNREACHABLE_TIMEOUT_MS = 900;

    /** Time after which a stop is retried while its run is still listed, in milliseconds. */
    private static final long STOP_RETRY_MS = 300;

    /**
     * Time after which a run that was throttled to nothing must not use processors any more, in
     * milliseconds; the worker averages over half a second.
     */
    private static final long THROTTLE_CHECK_MS = 800;

    /** Time within which a worker executes a command that it receives, in milliseconds. */
    private static final long EXECUTION_DELAY_MS = 500;

    /** Increment between two tokens of one agent; exceeds any clock drift between incarnations. */
    private static final long TOKEN_STEP = 1;

    /** Start time of no incarnation. */
    private static final long NO_INCARNATION = -1;

    /** Represents an unknown share, which only a new throttle command determines. */
    private static final int UNKNOWN_PERCENT = -1;

    private final WorkerRuntime mRuntime;
    private final SupervisorOutput mOutput;
    private final Scheduler mScheduler;
    private final SupervisorSettings mSettings;
    private final DecisionLog mLog;

    private final WorkerClock mClock = new WorkerClock();
    private final ListingOrder mListingOrder = new ListingOrder();
    private final EndAcknowledgement mAcknowledgement = new EndAcknowledgement();
    private final ReportSelection mReportSelection = new ReportSelection();
    private final BestEffortThrottle mThrottle;
    private final Map<RunId, PendingRun> mPending = new LinkedHashMap<>();
    private final Map<RunId, TaskTraits> mTraits = new HashMap<>();
    private final Map<RunId, Integer> mSentPercents = new HashMap<>();
    private final Map<RunId, Long> mStoppedWorkAtMs = new HashMap<>();
    private final Map<RunId, Long> mStopSentAtMs = new HashMap<>();
    private final Map<Long, Optional<Long>> mWorkerClockByReport = new HashMap<>();

    private Optional<WorkerDescription> mDescription = Optional.empty();
    private boolean mWorkerLeft;
    private long mIncarnationStartedAtMs = NO_INCARNATION;
    private long mCandidateStartedAtMs = NO_INCARNATION;
    private long mCandidateToken;
    private List<RunSample> mRunning = List.of();
    private List<EndedRun> mEnded = List.of();
    private ListCompleteness mCompleteness = ListCompleteness.PARTIAL;
    private Epoch mEpoch = new Epoch(-1);
    private long mSession;
    private long mToken;
    private long mLastCommandNumber;
    private long mReportNumber;
    private long mReportedAtMs;
    private long mLeaseDeadlineMs;
    private long mLeaseExpiredByMs;
    private long mPendingExpiredByMs;
    private long mRespondedAtMs;
    private boolean mStopped;
    private boolean mListingPaused;
    private long mPauseNumber;

    /**
     * Creates a supervisor.
     *
     * @param firstToken higher than the tokens of every earlier incarnation of the agent
     */
    public RunSupervisor(
            WorkerRuntime runtime,
            SupervisorOutput output,
            Scheduler scheduler,
            SupervisorSettings settings,
            long firstToken,
            DecisionLog log) {
        mRuntime = runtime;
        mOutput = output;
        mScheduler = scheduler;
        mSettings = settings;
        mThrottle = new BestEffortThrottle(settings.maximumInterferenceMs());
        mToken = firstToken;
        mLog = log;
    }

    /** Starts the periodic listings. */
    public synchronized void start() {
        mRespondedAtMs = nowMs();
        // An earlier incarnation of the agent may have extended the lease just before it crashed.
        mLeaseExpiredByMs = nowMs() + WorkerClock.longestDurationMs(mSettings.maximumLeaseMs());
        list();
    }

    /** Stops the periodic listings. */
    public synchronized void stop() {
        mStopped = true;
    }

    @Override
    public synchronized void onWorkerDescribed(WorkerDescription description) {
        Optional<WorkerDescription> known = mDescription;
        if (known.isPresent() && isOlder(description, known.get())) {
            return;
        }
        boolean returned = mWorkerLeft && isOlder(known.orElseThrow(), description);
        if (mWorkerLeft && !returned) {
            return;
        }
        mWorkerLeft = false;
        mDescription = Optional.of(description);
        boolean changed =
                known.isEmpty()
                        || returned
                        || !known.get().incarnation().equals(description.incarnation())
                        || known.get().draining() != description.draining();
        if (changed) {
            mLog.record(
                    "worker_described",
                    "worker",
                    description.incarnation().worker(),
                    "born",
                    description.incarnation().startedAtMs(),
                    "draining",
                    description.draining(),
                    "remaining_ms",
                    description.remainingMs());
            report();
        }
    }

    // The start time of a later incarnation may be lower if the wall clock was set back, so the
    // incarnation that was listed goes first.
    private boolean isOlder(WorkerDescription candidate, WorkerDescription known) {
        long candidateMs = candidate.incarnation().startedAtMs();
        long knownMs = known.incarnation().startedAtMs();
        if (candidateMs == knownMs) {
            return candidate.sequence() < known.sequence();
        }
        return candidateMs != mIncarnationStartedAtMs && candidateMs < knownMs;
    }

    @Override
    public synchronized void onWorkerLeft(WorkerId worker) {
        mLog.record("worker_left", "worker", worker);
        boolean current =
                mDescription.isPresent()
                        && mDescription.get().incarnation().worker().equals(worker);
        // Heartbeats that were delayed do not bring the worker back; newer ones do.
        if (current && !mWorkerLeft) {
            mWorkerLeft = true;
            report();
        }
    }

    /**
     * Handles a new session of an owner; command numbers start again. The announcement of an
     * earlier session may arrive later, on a link that was replaced.
     */
    public synchronized void onOwnerSession(Epoch epoch, long session) {
        int order = epoch.compareTo(mEpoch);
        if (order < 0 || (order == 0 && session <= mSession)) {
            mLog.record("session_ignored", "epoch", epoch, "session", session, "current", mSession);
            return;
        }
        mLog.record("owner_adopted", "epoch", epoch, "session", session, "before", mEpoch);
        mEpoch = epoch;
        mSession = session;
        mLastCommandNumber = 0;
        mWorkerClockByReport.clear();
        report();
    }

    /** Executes a start command of the owner. */
    public synchronized void onStartRun(StartRun command) {
        if (!isOfSession(command.epoch(), command.session(), "start", command.run())) {
            rejectUnlessPresent(command.run());
            return;
        }
        mLastCommandNumber = command.commandNumber();
        Optional<RejectionReason> rejection = rejectionReason(command);
        if (rejection.isPresent()) {
            reject(command.run(), rejection.get());
            return;
        }
        PendingRun pending = new PendingRun(command);
        mPending.put(command.run(), pending);
        mTraits.put(command.run(), command.traits());
        sendStart(pending);
    }

    private Optional<RejectionReason> rejectionReason(StartRun command) {
        if (isIncarnationChanging() || !incarnation().equals(Optional.of(command.incarnation()))) {
            return Optional.of(RejectionReason.UNAVAILABLE);
        }
        if (mWorkerLeft || (mDescription.isPresent() && mDescription.get().draining())) {
            return Optional.of(RejectionReason.DRAINING);
        }
        if (mLeaseDeadlineMs <= mClock.lowerBoundMs(nowMs()).orElse(Long.MAX_VALUE)) {
            return Optional.of(RejectionReason.NO_LEASE);
        }
        return Optional.empty();
    }

    private void sendStart(PendingRun pending) {
        StartRun command = pending.command();
        pending.onSent(mToken);
        onLeaseDeadlineSent();
        StartRunCommand startCommand =
                new StartRunCommand(
                        command.incarnation(),
                        command.run(),
                        command.payload(),
                        mLeaseDeadlineMs,
                        mToken,
                        command.checkpoint(),
                        command.ticket());
        long token = mToken;
        SingleCallbacks.subscribe(
                mRuntime.start(startCommand),
                response -> onStartResponse(pending, response, token),
                error -> onStartFailed(pending, error));
    }

    private synchronized void onStartResponse(
            PendingRun pending, RunCommandResult response, long token) {
        if (mPending.get(pending.command().run()) != pending) {
            return;
        }
        if (response.applied()) {
            mLog.record("run_started", "run", pending.command().run(), "token", token);
            throttleIfNeeded(pending.command().run());
            return;
        }
        if (response.fenced()) {
            if (token >= mToken) {
                raiseToken("start_fenced");
            }
            if (isIncarnationChanging()) {
                mPending.remove(pending.command().run());
                reject(pending.command().run(), RejectionReason.UNAVAILABLE);
            } else {
                sendStart(pending);
            }
            return;
        }
        mPending.remove(pending.command().run());
        reject(pending.command().run(), response.reason().orElse(RejectionReason.UNAVAILABLE));
    }

    private synchronized void onStartFailed(PendingRun pending, Throwable error) {
        if (mPending.get(pending.command().run()) != pending) {
            return;
        }
        boolean unsent = error instanceof HttpCallException failure && !failure.mayHaveBeenSent();
        if (unsent) {
            mPending.remove(pending.command().run());
            reject(pending.command().run(), RejectionReason.UNAVAILABLE);
            return;
        }
        pending.onNoResponse();
        mLog.record("start_unanswered", "run", pending.command().run(), "cause", error);
        raiseToken("start_unanswered");
        listNow();
    }

    private void reject(RunId run, RejectionReason reason) {
        mTraits.remove(run);
        mStopSentAtMs.remove(run);
        mLog.record("run_rejected", "run", run, "reason", reason);
        mOutput.sendToOwner(new RunRejected(mEpoch, run, reason));
    }

    private void raiseToken(String cause) {
        mToken += TOKEN_STEP;
        mLog.record("token_raised", "token", mToken, "cause", cause);
    }

    /** Executes a stop command of the owner. */
    public synchronized void onStopRun(StopRun command) {
        // The owner sends the stop again if the run is listed in the current session.
        if (!isOfSession(command.epoch(), command.session(), "stop", command.run())) {
            return;
        }
        mLastCommandNumber = command.commandNumber();
        if (isStopDue(command.run())) {
            sendStop(command.run());
        }
    }

    private boolean isStopDue(RunId run) {
        Long sentAtMs = mStopSentAtMs.get(run);
        return sentAtMs == null || nowMs() - sentAtMs > STOP_RETRY_MS;
    }

    private void sendStop(RunId run) {
        mStopSentAtMs.put(run, nowMs());
        SingleCallbacks.subscribe(
                mRuntime.stop(run, mToken),
                response -> onStopResponse(run, response),
                error -> mLog.record("stop_unanswered", "run", run, "cause", error));
    }

    private synchronized void onStopResponse(RunId run, RunCommandResult response) {
        if (response.fenced()) {
            raiseToken("stop_fenced");
            sendStop(run);
            return;
        }
        mLog.record("run_stop_sent", "run", run, "accepted", response.applied());
    }

    /** Handles the traits of a run that was found on the worker. */
    public synchronized void onRunTraits(RunTraits message) {
        if (mTraits.put(message.run(), message.traits()) == null) {
            // An earlier incarnation of the agent may have set any share.
            mSentPercents.put(message.run(), UNKNOWN_PERCENT);
            mLog.record("run_traits_learnt", "run", message.run(), "traits", message.traits());
        }
    }

    /** Handles a lease extension and removes the ends that have become durable. */
    public synchronized void onLeaseExtension(LeaseExtension extension) {
        if (extension.epoch().compareTo(mEpoch) < 0) {
            return;
        }
        Optional<Long> clock =
                mWorkerClockByReport.getOrDefault(extension.reportNumber(), Optional.empty());
        mWorkerClockByReport.keySet().removeIf(number -> number <= extension.reportNumber());
        if (extension.leaseMs() > 0 && clock.isPresent()) {
            mLeaseDeadlineMs = Math.max(mLeaseDeadlineMs, clock.get() + extension.leaseMs());
        }
        boolean sameIncarnation =
                extension.incarnation().isPresent()
                        && extension.incarnation().equals(incarnation());
        if (sameIncarnation && mAcknowledgement.onDurable(extension.acknowledgedEndNumber())) {
            mEnded = withoutDurable(mEnded);
            endPause(mPauseNumber);
        }
    }

    private List<EndedRun> withoutDurable(List<EndedRun> ended) {
        return ended.stream()
                .filter(end -> end.number() > mAcknowledgement.durableEndNumber())
                .toList();
    }

    // A report of the current session tells the owner which runs do not exist, so no command of
    // another session may be executed after it. Such a command can arrive on a replaced link.
    private boolean isOfSession(Epoch epoch, long session, String command, RunId run) {
        if (epoch.equals(mEpoch) && session == mSession) {
            return true;
        }
        mLog.record(
                "order_ignored",
                "order",
                command,
                "run",
                run,
                "epoch",
                epoch,
                "session",
                session,
                "obeys",
                mEpoch,
                "current_session",
                mSession);
        return false;
    }

    private void rejectUnlessPresent(RunId run) {
        boolean present =
                mPending.containsKey(run)
                        || runIds(mRunning).contains(run)
                        || mEnded.stream().anyMatch(end -> end.run().equals(run));
        if (!present) {
            reject(run, RejectionReason.OTHER_SESSION);
        }
    }

    private Optional<WorkerIncarnation> incarnation() {
        return mDescription
                .map(WorkerDescription::incarnation)
                .filter(incarnation -> incarnation.startedAtMs() == mIncarnationStartedAtMs);
    }

    private void list() {
        if (mStopped) {
            return;
        }
        int longPollMs = mEnded.isEmpty() && mPending.isEmpty() ? mSettings.longPollMs() : 0;
        list(longPollMs, true);
    }

    /**
     * Sends a separate listing in addition to the periodic one, to resolve a start without a
     * response.
     */
    private void listNow() {
        list(0, false);
    }

    private void list(int longPollMs, boolean periodic) {
        long token = mToken;
        // A worker that has restarted would take the deadline as a time on its new clock.
        boolean extend = isReachable() && mAcknowledgement.isResponding() && mLeaseDeadlineMs > 0;
        Optional<Long> deadline = extend ? Optional.of(mLeaseDeadlineMs) : Optional.empty();
        if (extend) {
            onLeaseDeadlineSent();
        }
        long sentAtMs = nowMs();
        SentListing sent =
                new SentListing(
                        token, mListingOrder.position(), mAcknowledgement.endNumberToSend());
        SingleCallbacks.subscribe(
                mRuntime.list(token, deadline, sent.acknowledgedEndNumber(), longPollMs),
                response -> onListing(response, sent, periodic, sentAtMs),
                error -> onListingFailed(error, periodic));
    }

    // Each command with a deadline extends the lease of everything that runs on the worker. What a
    // listing has shown since it was started runs on the known incarnation. A pending run may have
    // been started by a later one, which takes the deadline as a time on its own clock and grants
    // the longest lease.
    private void onLeaseDeadlineSent() {
        mLeaseExpiredByMs =
                Math.max(mLeaseExpiredByMs, mClock.certainlyPassedAtMs(mLeaseDeadlineMs, nowMs()));
        mPendingExpiredByMs =
                nowMs()
                        + EXECUTION_DELAY_MS
                        + WorkerClock.longestDurationMs(mSettings.maximumLeaseMs());
    }

    /** What is needed of a listing request when its response arrives. */
    private record SentListing(long token, long position, long acknowledgedEndNumber) {}

    private synchronized void onListingFailed(Throwable error, boolean periodic) {
        mAcknowledgement.onIncarnationUncertain();
        if (isReachable() && nowMs() - mRespondedAtMs > UNREACHABLE_TIMEOUT_MS / 2) {
            mLog.record("worker_unanswered", "cause", error);
        }
        reportIfDue();
        if (periodic) {
            pauseListing(RETRY_DELAY_MS);
        }
    }

    private synchronized void onListing(
            RunListing response, SentListing sent, boolean periodic, long sentAtMs) {
        mRespondedAtMs = nowMs();
        if (response.fenced()) {
            if (sent.token() >= mToken) {
                // Another agent of this worker started with a higher token because its clock was
                // ahead.
                mToken += TimeUnit.MINUTES.toMillis(1);
                mLog.record("token_raised", "token", mToken, "cause", "listing_fenced");
            }
        } else {
            apply(response, sent);
        }
        if (periodic) {
            listAgain(nowMs() - sentAtMs);
        }
    }

    // A worker that has waited for an end needs no pause.
    private void listAgain(long waitedMs) {
        boolean nothingPending = mEnded.isEmpty() && mPending.isEmpty();
        if (!nothingPending) {
            pauseListing(UNACKNOWLEDGED_PAUSE_MS);
        } else if (waitedMs < LIST_PAUSE_MS) {
            pauseListing(LIST_PAUSE_MS);
        } else {
            list();
        }
    }

    // Only the newest listing says what is not on the worker any more.
    private void apply(RunListing response, SentListing sent) {
        boolean newIncarnation = response.startedAtMs() != mIncarnationStartedAtMs;
        if (newIncarnation && !isConfirmed(response.startedAtMs(), sent.token())) {
            return;
        }
        if (!newIncarnation && sent.token() >= mCandidateToken) {
            // The response of the candidate was one of an earlier incarnation, and delayed.
            mCandidateStartedAtMs = NO_INCARNATION;
        }
        if (newIncarnation) {
            onNewIncarnation(response.startedAtMs());
        } else if (!mListingOrder.isNewest(sent.position(), response.clockMs())) {
            mLog.record(
                    "listing_overtaken",
                    "clock_ms",
                    response.clockMs(),
                    "newest_clock_ms",
                    mListingOrder.newestClockMs(),
                    "token",
                    sent.token());
            return;
        }
        mListingOrder.onApplied(response.clockMs());
        mAcknowledgement.onListed(newIncarnation ? 0 : sent.acknowledgedEndNumber());
        mClock.onReading(response.clockMs(), nowMs());
        List<EndedRun> ended = withoutDurable(response.ended());
        // The owner needs to know of ends at once. A run that is listed for the first time was
        // reported as pending before.
        boolean changed = newIncarnation || !hasSameEnds(ended, mEnded);
        mRunning = response.running();
        mEnded = ended;
        mCompleteness = response.completeness();
        resolvePending(sent.token());
        retryStops();
        throttle();
        if (changed) {
            report();
        } else {
            reportIfDue();
        }
    }

    // A start that was meant for the previous incarnation may still reach the new one, which has
    // seen no token yet. After a listing under a higher token, such a start is either listed or
    // fenced permanently.
    private boolean isConfirmed(long startedAtMs, long token) {
        if (mIncarnationStartedAtMs == NO_INCARNATION) {
            return true;
        }
        if (startedAtMs != mCandidateStartedAtMs) {
            mLog.record("worker_restarted", "born", startedAtMs, "before", mIncarnationStartedAtMs);
            raiseToken("worker_restarted");
            mCandidateStartedAtMs = startedAtMs;
            mAcknowledgement.onIncarnationUncertain();
            mCandidateToken = mToken;
            mLeaseDeadlineMs = 0;
            mWorkerClockByReport.clear();
            listNow();
            return false;
        }
        return token >= mCandidateToken;
    }

    private boolean isIncarnationChanging() {
        return mCandidateStartedAtMs != NO_INCARNATION;
    }

    private void onNewIncarnation(long startedAtMs) {
        mIncarnationStartedAtMs = startedAtMs;
        mCandidateStartedAtMs = NO_INCARNATION;
        mListingOrder.onNewIncarnation();
        mClock.reset();
        mWorkerClockByReport.clear();
        mLeaseDeadlineMs = 0;
        // Until now, the worker may have taken a deadline on the clock of its previous incarnation.
        // Commands with such deadlines carry lower tokens than the listing that has just arrived.
        mLeaseExpiredByMs =
                Math.max(
                        mLeaseExpiredByMs,
                        nowMs() + WorkerClock.longestDurationMs(mSettings.maximumLeaseMs()));
        // The previous incarnation may have executed a pending start, or this one before it had
        // seen the token of its first listing. A complete list tells.
        mPending.values().forEach(PendingRun::onNoResponse);
        mAcknowledgement.onNewIncarnation();
        mStopSentAtMs.clear();
        mSentPercents.clear();
        mStoppedWorkAtMs.clear();
    }

    private static boolean hasSameEnds(List<EndedRun> left, List<EndedRun> right) {
        return left.size() == right.size()
                && (left.isEmpty()
                        || left.get(left.size() - 1).number()
                                == right.get(right.size() - 1).number());
    }

    private static Set<RunId> runIds(List<RunSample> samples) {
        Set<RunId> runs = new HashSet<>();
        for (RunSample sample : samples) {
            runs.add(sample.run());
        }
        return runs;
    }

    private void resolvePending(long token) {
        for (RunSample sample : mRunning) {
            mPending.remove(sample.run());
        }
        for (EndedRun end : mEnded) {
            mPending.remove(end.run());
        }
        // A run that has ended may be missing from a partial list.
        List<PendingRun> ruledOut =
                mCompleteness == ListCompleteness.COMPLETE
                        ? mPending.values().stream()
                                .filter(pending -> pending.isRuledOutBy(token))
                                .toList()
                        : List.of();
        for (PendingRun pending : ruledOut) {
            mPending.remove(pending.command().run());
            reject(pending.command().run(), RejectionReason.UNAVAILABLE);
        }
        Set<RunId> present = runIds(mRunning);
        present.addAll(mPending.keySet());
        mTraits.keySet().retainAll(present);
        mSentPercents.keySet().retainAll(present);
        mStoppedWorkAtMs.keySet().retainAll(present);
        mStopSentAtMs.keySet().retainAll(present);
    }

    private void retryStops() {
        for (RunSample sample : mRunning) {
            boolean stopping = mStopSentAtMs.containsKey(sample.run());
            if (stopping && isStopDue(sample.run())) {
                sendStop(sample.run());
            }
        }
    }

    /**
     * Updates how much best-effort images add to the load of the latency-critical tasks of this
     * worker.
     */
    public synchronized void onInterferenceWeights(InterferenceWeights message) {
        mThrottle.updateWeights(message.weights());
    }

    private void throttle() {
        long capacityMilli =
                mDescription.map(known -> known.capacity().processorsMilli()).orElse(0L);
        if (mThrottle.update(mRunning, mTraits, capacityMilli, nowMs())) {
            mLog.record(
                    "fill_paced",
                    "load",
                    mThrottle.load(),
                    "percents",
                    mThrottle.percents(),
                    "missed_ms",
                    mThrottle.longestMissMs(),
                    "runs",
                    mRunning.size());
        }
        for (RunSample sample : mRunning) {
            onThrottleResult(sample);
            throttleIfNeeded(sample.run());
        }
    }

    // A command of an earlier time may be executed after the one that stopped the run.
    private void onThrottleResult(RunSample sample) {
        boolean stopped = mSentPercents.getOrDefault(sample.run(), UNKNOWN_PERCENT) == 0;
        if (!stopped || sample.measurement() == 0) {
            mStoppedWorkAtMs.remove(sample.run());
            return;
        }
        long seenAtMs = mStoppedWorkAtMs.computeIfAbsent(sample.run(), run -> nowMs());
        if (nowMs() - seenAtMs > THROTTLE_CHECK_MS) {
            mStoppedWorkAtMs.remove(sample.run());
            mSentPercents.put(sample.run(), UNKNOWN_PERCENT);
            mLog.record("stopped_run_at_work", "run", sample.run(), "use", sample.measurement());
        }
    }

    private void throttleIfNeeded(RunId run) {
        TaskTraits traits = mTraits.get(run);
        if (traits == null || !traits.bestEffort()) {
            return;
        }
        int percent = mThrottle.percent(traits.image());
        if (mSentPercents.getOrDefault(run, BestEffortThrottle.FULL_PERCENT) != percent) {
            sendThrottle(run, percent);
        }
    }

    private void sendThrottle(RunId run, int percent) {
        mSentPercents.put(run, percent);
        long token = mToken;
        SingleCallbacks.subscribe(
                mRuntime.throttle(run, percent, token),
                response -> onThrottleResponse(run, response, token),
                error -> onThrottleFailed(run));
    }

    private synchronized void onThrottleResponse(RunId run, RunCommandResult response, long token) {
        if (response.fenced() && token >= mToken) {
            raiseToken("throttle_fenced");
        }
        if (!response.applied()) {
            mSentPercents.put(run, UNKNOWN_PERCENT);
        }
    }

    private synchronized void onThrottleFailed(RunId run) {
        mSentPercents.put(run, UNKNOWN_PERCENT);
    }

    private boolean isReachable() {
        return nowMs() - mRespondedAtMs <= UNREACHABLE_TIMEOUT_MS + mSettings.longPollMs();
    }

    private void reportIfDue() {
        if (nowMs() - mReportedAtMs >= mSettings.reportIntervalMs()) {
            report();
        }
    }

    private void report() {
        mReportedAtMs = nowMs();
        mReportNumber++;
        mWorkerClockByReport.put(
                mReportNumber,
                isIncarnationChanging() ? Optional.empty() : mClock.lowerBoundMs(nowMs()));
        boolean reachable = isReachable();
        List<EndedRun> ended = ReportSelection.selectEnded(mEnded);
        mOutput.sendToOwner(
                new WorkerReport(
                        mReportNumber,
                        mEpoch,
                        mSession,
                        mWorkerLeft ? Optional.empty() : mDescription,
                        incarnation(),
                        mLastCommandNumber,
                        new ArrayList<>(mPending.keySet()),
                        mReportSelection.selectRunning(mRunning),
                        ended,
                        ended.size() < mEnded.size() ? ListCompleteness.PARTIAL : mCompleteness,
                        !reachable && nowMs() > mLeaseExpiredByMs,
                        Math.max(0, mLeaseExpiredByMs - nowMs()),
                        mPending.isEmpty() ? 0 : Math.max(0, mPendingExpiredByMs - nowMs()),
                        reachable,
                        mThrottle.lowestPercent()));
    }

    private void pauseListing(long delayMs) {
        mListingPaused = true;
        mPauseNumber++;
        long number = mPauseNumber;
        mScheduler.scheduleDirect(() -> endPause(number), delayMs, TimeUnit.MILLISECONDS);
    }

    // An acknowledgement ends the pause early: it lets the worker remove the ends, after which its
    // long polls wait again.
    private synchronized void endPause(long number) {
        if (mListingPaused && number == mPauseNumber) {
            mListingPaused = false;
            list();
        }
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
