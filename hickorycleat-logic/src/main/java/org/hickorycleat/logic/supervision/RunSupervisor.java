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
import org.hickorycleat.logic.port.RunCommandResult;
import org.hickorycleat.logic.port.RunListing;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.logic.port.StartRunCommand;
import org.hickorycleat.logic.port.WorkerRuntime;
import org.hickorycleat.logic.port.WorkerStatusListener;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.EndedRun;
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
 * Carries out the orders of the owner on one worker and reports what runs there.
 *
 * <p>The agent is the only caller of its worker, so its fencing token decides which orders count. A
 * start without an answer is settled by a listing under a higher token: what is not listed then
 * will never run.
 */
public final class RunSupervisor implements WorkerStatusListener {
    /** Pause before the worker is asked again after it gave no answer, in milliseconds. */
    private static final long RETRY_MS = 100;

    /** Pause between listings, should the worker answer without waiting, in milliseconds. */
    private static final long LIST_PAUSE_MS = 10;

    /** Pause between listings while ends wait to become durable, in milliseconds. */
    private static final long UNACKNOWLEDGED_PAUSE_MS = 40;

    /** Without an answer for this long the worker counts as unreachable, in milliseconds. */
    private static final long SILENCE_MS = 900;

    /** Time after which a stop whose end is not listed is repeated, in milliseconds. */
    private static final long STOP_REPEAT_MS = 300;

    /** Distance between two tokens of one agent; above any drift of the clock between lives. */
    private static final long TOKEN_STEP = 1;

    /** Stands for a share that only a new order makes known. */
    private static final int UNKNOWN_PERCENT = -1;

    private final WorkerRuntime mRuntime;
    private final SupervisorOutput mOutput;
    private final Scheduler mScheduler;
    private final SupervisorSettings mSettings;
    private final DecisionLog mLog;

    private final WorkerClock mClock = new WorkerClock();
    private final BestEffortThrottle mPacer = new BestEffortThrottle();
    private final Map<RunId, PendingRun> mPending = new LinkedHashMap<>();
    private final Map<RunId, TaskTraits> mTraits = new HashMap<>();
    private final Map<RunId, Integer> mPercents = new HashMap<>();
    private final Map<RunId, Long> mStopSentAtMs = new HashMap<>();
    private final Map<Long, Optional<Long>> mClockAtReport = new HashMap<>();

    private Optional<WorkerDescription> mDescription = Optional.empty();
    private long mListedLifeMs = -1;
    private long mCandidateLifeMs = -1;
    private long mCandidateToken;
    private List<RunSample> mRunning = List.of();
    private List<EndedRun> mEnded = List.of();
    private Epoch mEpoch = new Epoch(-1);
    private long mSession;
    private long mToken;
    private long mOrdersSeen;
    private long mReportNumber;
    private long mReportedAtMs;
    private long mAcknowledged;
    private long mLeaseDeadlineMs;
    private long mLeaseCertainlyOverAtMs;
    private long mAnsweredAtMs;
    private boolean mStopped;

    /**
     * Creates a supervisor.
     *
     * @param firstToken above the tokens of every earlier agent of this worker
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
        mToken = firstToken;
        mLog = log;
    }

    /** Starts to list. */
    public synchronized void start() {
        mAnsweredAtMs = nowMs();
        // An earlier agent may have extended the lease just before it died.
        mLeaseCertainlyOverAtMs = nowMs() + mSettings.maximumLeaseMs() * 21L / 20;
        list();
    }

    /** Stops to list. */
    public synchronized void stop() {
        mStopped = true;
    }

    @Override
    public synchronized void onWorkerDescribed(WorkerDescription description) {
        Optional<WorkerDescription> known = mDescription;
        if (known.isPresent() && isOlder(description, known.get())) {
            return;
        }
        mDescription = Optional.of(description);
        boolean changed =
                known.isEmpty()
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

    private static boolean isOlder(WorkerDescription candidate, WorkerDescription known) {
        if (candidate.incarnation().startedAtMs() != known.incarnation().startedAtMs()) {
            return candidate.incarnation().startedAtMs() < known.incarnation().startedAtMs();
        }
        return candidate.sequence() < known.sequence();
    }

    @Override
    public synchronized void onWorkerLeft(WorkerId worker) {
        mLog.record("worker_left", "worker", worker);
    }

    /** An owner opened a session; orders are counted anew. */
    public synchronized void onOwnerSession(Epoch epoch, long session) {
        if (epoch.compareTo(mEpoch) < 0) {
            return;
        }
        mLog.record("owner_adopted", "epoch", epoch, "session", session, "before", mEpoch);
        mEpoch = epoch;
        mSession = session;
        mOrdersSeen = 0;
        mClockAtReport.clear();
        report();
    }

    /** Carries out a start. */
    public synchronized void onStartRun(StartRun order) {
        if (!obeys(order.epoch(), "start", order.run())) {
            return;
        }
        mOrdersSeen = order.commandNumber();
        Optional<RejectionReason> refusal = refusal(order);
        if (refusal.isPresent()) {
            reject(order.run(), refusal.get());
            return;
        }
        PendingRun pending = new PendingRun(order);
        mPending.put(order.run(), pending);
        mTraits.put(order.run(), order.traits());
        sendStart(pending);
    }

    private Optional<RejectionReason> refusal(StartRun order) {
        if (isChangingLife() || !life().equals(Optional.of(order.incarnation()))) {
            return Optional.of(RejectionReason.UNAVAILABLE);
        }
        if (mDescription.isPresent() && mDescription.get().draining()) {
            return Optional.of(RejectionReason.DRAINING);
        }
        if (mLeaseDeadlineMs <= mClock.lowerBoundMs(nowMs()).orElse(Long.MAX_VALUE)) {
            return Optional.of(RejectionReason.NO_LEASE);
        }
        return Optional.empty();
    }

    private void sendStart(PendingRun pending) {
        StartRun order = pending.order();
        pending.onSent(mToken);
        StartRunCommand call =
                new StartRunCommand(
                        order.incarnation(),
                        order.run(),
                        order.payload(),
                        mLeaseDeadlineMs,
                        mToken,
                        order.checkpoint(),
                        order.ticket());
        long token = mToken;
        SingleCallbacks.subscribe(
                mRuntime.start(call),
                answer -> onStartAnswer(pending, answer, token),
                error -> onStartUnanswered(pending, error));
    }

    private synchronized void onStartAnswer(
            PendingRun pending, RunCommandResult answer, long token) {
        if (mPending.get(pending.order().run()) != pending) {
            return;
        }
        if (answer.applied()) {
            mLog.record("run_started", "run", pending.order().run(), "token", token);
            paceIfNeeded(pending.order().run());
            return;
        }
        if (answer.fenced()) {
            if (token >= mToken) {
                raiseToken("start_fenced");
            }
            if (isChangingLife()) {
                mPending.remove(pending.order().run());
                reject(pending.order().run(), RejectionReason.UNAVAILABLE);
            } else {
                sendStart(pending);
            }
            return;
        }
        mPending.remove(pending.order().run());
        reject(pending.order().run(), answer.reason().orElse(RejectionReason.UNAVAILABLE));
    }

    private synchronized void onStartUnanswered(PendingRun pending, Throwable error) {
        if (mPending.get(pending.order().run()) != pending) {
            return;
        }
        pending.onUnanswered();
        mLog.record("start_unanswered", "run", pending.order().run(), "cause", error);
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

    /** Carries out a stop. */
    public synchronized void onStopRun(StopRun order) {
        if (!obeys(order.epoch(), "stop", order.run())) {
            return;
        }
        mOrdersSeen = order.commandNumber();
        if (isStopDue(order.run())) {
            sendStop(order.run());
        }
    }

    private boolean isStopDue(RunId run) {
        Long sentAtMs = mStopSentAtMs.get(run);
        return sentAtMs == null || nowMs() - sentAtMs > STOP_REPEAT_MS;
    }

    private void sendStop(RunId run) {
        mStopSentAtMs.put(run, nowMs());
        SingleCallbacks.subscribe(
                mRuntime.stop(run, mToken),
                answer -> onStopAnswer(run, answer),
                error -> mLog.record("stop_unanswered", "run", run, "cause", error));
    }

    private synchronized void onStopAnswer(RunId run, RunCommandResult answer) {
        if (answer.fenced()) {
            raiseToken("stop_fenced");
            sendStop(run);
            return;
        }
        mLog.record("run_stop_sent", "run", run, "accepted", answer.applied());
    }

    /** Takes the traits of a run that was found on the worker. */
    public synchronized void onRunTraits(RunTraits message) {
        mTraits.put(message.run(), message.traits());
        // An earlier agent may have set any share.
        mPercents.put(message.run(), UNKNOWN_PERCENT);
    }

    /** Takes a lease and the ends that have become durable. */
    public synchronized void onLeaseExtension(LeaseExtension extension) {
        if (extension.epoch().compareTo(mEpoch) < 0) {
            return;
        }
        Optional<Long> clock =
                mClockAtReport.getOrDefault(extension.reportNumber(), Optional.empty());
        mClockAtReport.keySet().removeIf(number -> number <= extension.reportNumber());
        if (extension.leaseMs() > 0 && clock.isPresent()) {
            mLeaseDeadlineMs = Math.max(mLeaseDeadlineMs, clock.get() + extension.leaseMs());
        }
        boolean sameLife =
                extension.incarnation().isPresent() && extension.incarnation().equals(life());
        if (sameLife && extension.acknowledgedEndNumber() > mAcknowledged) {
            mAcknowledged = extension.acknowledgedEndNumber();
            mEnded = mEnded.stream().filter(end -> end.number() > mAcknowledged).toList();
        }
    }

    private boolean obeys(Epoch epoch, String order, RunId run) {
        if (epoch.compareTo(mEpoch) >= 0) {
            return true;
        }
        mLog.record("order_ignored", "order", order, "run", run, "epoch", epoch, "obeys", mEpoch);
        return false;
    }

    private Optional<WorkerIncarnation> life() {
        return mDescription
                .map(WorkerDescription::incarnation)
                .filter(life -> life.startedAtMs() == mListedLifeMs);
    }

    private void list() {
        if (mStopped) {
            return;
        }
        int waitMs = mEnded.isEmpty() && mPending.isEmpty() ? mSettings.listWaitMs() : 0;
        list(waitMs, true);
    }

    /** Lists once more beside the regular listing, to settle a doubtful order. */
    private void listNow() {
        list(0, false);
    }

    private void list(int waitMs, boolean regular) {
        long token = mToken;
        boolean extend = isReachable() && mLeaseDeadlineMs > 0;
        Optional<Long> deadline = extend ? Optional.of(mLeaseDeadlineMs) : Optional.empty();
        if (extend) {
            mLeaseCertainlyOverAtMs =
                    Math.max(
                            mLeaseCertainlyOverAtMs,
                            mClock.certainlyPassedAtMs(mLeaseDeadlineMs, nowMs()));
        }
        SingleCallbacks.subscribe(
                mRuntime.list(token, deadline, mAcknowledged, waitMs),
                answer -> onListing(answer, token, regular),
                error -> onListingFailed(error, regular));
    }

    private synchronized void onListingFailed(Throwable error, boolean regular) {
        if (isReachable() && nowMs() - mAnsweredAtMs > SILENCE_MS / 2) {
            mLog.record("worker_unanswered", "cause", error);
        }
        reportIfDue();
        if (regular) {
            after(RETRY_MS, this::list);
        }
    }

    private synchronized void onListing(RunListing answer, long token, boolean regular) {
        mAnsweredAtMs = nowMs();
        if (answer.fenced()) {
            if (token >= mToken) {
                // Another agent of this worker had a clock ahead of ours.
                mToken += TimeUnit.MINUTES.toMillis(1);
                mLog.record("token_raised", "token", mToken, "cause", "listing_fenced");
            }
        } else {
            apply(answer, token);
        }
        if (regular) {
            boolean settled = mEnded.isEmpty() && mPending.isEmpty();
            after(settled ? LIST_PAUSE_MS : UNACKNOWLEDGED_PAUSE_MS, this::list);
        }
    }

    private void apply(RunListing answer, long token) {
        if (answer.startedAtMs() < mListedLifeMs) {
            return;
        }
        boolean newLife = answer.startedAtMs() > mListedLifeMs;
        if (newLife && !isConfirmed(answer.startedAtMs(), token)) {
            return;
        }
        if (newLife) {
            onNewLife(answer.startedAtMs());
        }
        mClock.onReading(answer.clockMs(), nowMs());
        List<EndedRun> ended =
                answer.ended().stream().filter(end -> end.number() > mAcknowledged).toList();
        boolean changed = !sameEnds(ended, mEnded) || !sameRuns(answer.running(), mRunning);
        mRunning = answer.running();
        mEnded = ended;
        settlePending(token);
        if (newLife) {
            rejectPending();
        }
        repeatStops();
        pace();
        if (changed) {
            report();
        } else {
            reportIfDue();
        }
    }

    // A start that was meant for the former life may still reach the new one, which has seen no
    // token; a listing under a higher one tells for good what of it is there.
    private boolean isConfirmed(long startedAtMs, long token) {
        if (mListedLifeMs < 0) {
            return true;
        }
        if (startedAtMs > mCandidateLifeMs) {
            mLog.record("worker_restarted", "born", startedAtMs, "before", mListedLifeMs);
            raiseToken("worker_restarted");
            mCandidateLifeMs = startedAtMs;
            mCandidateToken = mToken;
            mLeaseDeadlineMs = 0;
            listNow();
            return false;
        }
        return token >= mCandidateToken;
    }

    private boolean isChangingLife() {
        return mCandidateLifeMs > mListedLifeMs;
    }

    private void onNewLife(long startedAtMs) {
        mListedLifeMs = startedAtMs;
        mClock.reset();
        mClockAtReport.clear();
        mLeaseDeadlineMs = 0;
        mAcknowledged = 0;
        mStopSentAtMs.clear();
        mPercents.clear();
    }

    private void rejectPending() {
        List<RunId> gone = List.copyOf(mPending.keySet());
        mPending.clear();
        gone.forEach(run -> reject(run, RejectionReason.UNAVAILABLE));
    }

    private static boolean sameEnds(List<EndedRun> left, List<EndedRun> right) {
        return left.size() == right.size()
                && (left.isEmpty()
                        || left.get(left.size() - 1).number()
                                == right.get(right.size() - 1).number());
    }

    private static boolean sameRuns(List<RunSample> left, List<RunSample> right) {
        return left.size() == right.size() && runs(left).equals(runs(right));
    }

    private static Set<RunId> runs(List<RunSample> samples) {
        Set<RunId> runs = new HashSet<>();
        for (RunSample sample : samples) {
            runs.add(sample.run());
        }
        return runs;
    }

    private void settlePending(long token) {
        for (RunSample sample : mRunning) {
            mPending.remove(sample.run());
        }
        for (EndedRun end : mEnded) {
            mPending.remove(end.run());
        }
        List<PendingRun> ruledOut =
                mPending.values().stream().filter(pending -> pending.isRuledOutBy(token)).toList();
        for (PendingRun pending : ruledOut) {
            mPending.remove(pending.order().run());
            reject(pending.order().run(), RejectionReason.UNAVAILABLE);
        }
        Set<RunId> present = runs(mRunning);
        present.addAll(mPending.keySet());
        mTraits.keySet().retainAll(present);
        mPercents.keySet().retainAll(present);
        mStopSentAtMs.keySet().retainAll(present);
    }

    private void repeatStops() {
        for (RunSample sample : mRunning) {
            boolean stopping = mStopSentAtMs.containsKey(sample.run());
            if (stopping && isStopDue(sample.run())) {
                sendStop(sample.run());
            }
        }
    }

    /** Takes how much images that fill disturb the serving tasks of this worker. */
    public synchronized void onInterferenceWeights(InterferenceWeights message) {
        mPacer.onWeights(message.weights());
    }

    private void pace() {
        long capacityMilli =
                mDescription.map(known -> known.capacity().processorsMilli()).orElse(0L);
        if (mPacer.update(mRunning, mTraits, capacityMilli, nowMs())) {
            mLog.record(
                    "fill_paced",
                    "load",
                    mPacer.load(),
                    "percents",
                    mPacer.percents(),
                    "runs",
                    mRunning.size());
        }
        for (RunSample sample : mRunning) {
            paceIfNeeded(sample.run());
        }
    }

    private void paceIfNeeded(RunId run) {
        TaskTraits traits = mTraits.get(run);
        if (traits == null || !traits.bestEffort()) {
            return;
        }
        int percent = mPacer.percent(traits.image());
        if (mPercents.getOrDefault(run, BestEffortThrottle.FULL_PERCENT) != percent) {
            sendPace(run, percent);
        }
    }

    private void sendPace(RunId run, int percent) {
        mPercents.put(run, percent);
        SingleCallbacks.subscribe(
                mRuntime.throttle(run, percent, mToken),
                answer -> onPaceAnswer(run, answer),
                error -> onPaceUnanswered(run));
    }

    private synchronized void onPaceAnswer(RunId run, RunCommandResult answer) {
        if (!answer.applied()) {
            mPercents.remove(run);
        }
    }

    private synchronized void onPaceUnanswered(RunId run) {
        mPercents.put(run, UNKNOWN_PERCENT);
    }

    private boolean isReachable() {
        return nowMs() - mAnsweredAtMs <= SILENCE_MS + mSettings.listWaitMs();
    }

    private void reportIfDue() {
        if (nowMs() - mReportedAtMs >= mSettings.reportIntervalMs()) {
            report();
        }
    }

    private void report() {
        mReportedAtMs = nowMs();
        mReportNumber++;
        mClockAtReport.put(mReportNumber, mClock.lowerBoundMs(nowMs()));
        boolean reachable = isReachable();
        mOutput.sendToOwner(
                new WorkerReport(
                        mReportNumber,
                        mEpoch,
                        mSession,
                        mDescription,
                        life(),
                        mOrdersSeen,
                        new ArrayList<>(mPending.keySet()),
                        mRunning,
                        mEnded,
                        !reachable && nowMs() > mLeaseCertainlyOverAtMs,
                        reachable,
                        mPacer.lowestPercent()));
    }

    private synchronized void run(Runnable action) {
        action.run();
    }

    private void after(long delayMs, Runnable action) {
        mScheduler.scheduleDirect(() -> run(action), delayMs, TimeUnit.MILLISECONDS);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
