package org.hickorycleat.logic.dispatch;

import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.WorkerIncarnation;

/** Tracks a run that may be on a worker. */
final class TrackedRun {
    /** Share of the requested processors below which a run counts as slowed down. */
    private static final double SLOWED_SHARE = 0.35;

    /**
     * Share of a throttled best-effort run, in percent, up to which a lack of progress is no sign
     * of a faulty worker.
     */
    private static final int THROTTLED_PERCENT = 25;

    private final RunId mId;
    private final TrackedTask mTask;
    private final TrackedWorker mWorker;
    private WorkerIncarnation mIncarnation;
    private RunPhase mPhase;
    private long mSession;
    private long mCommandNumber;
    private long mTraitsSession;
    private long mStartSentAtMs;
    private long mUnlistedExpiredByMs = Long.MIN_VALUE;
    private boolean mStopping;
    private final RunProgress mProgress = new RunProgress();
    private long mMeasurement;
    private boolean mHasNewMeasurement;
    private final InterferenceEstimator.Estimate mOwnLoad = InterferenceEstimator.initialLoad();
    private long mNotSlowedAtMs = Long.MIN_VALUE / 2;

    TrackedRun(
            RunId id,
            TrackedTask task,
            TrackedWorker worker,
            WorkerIncarnation incarnation,
            RunPhase phase) {
        mId = id;
        mTask = task;
        mWorker = worker;
        mIncarnation = incarnation;
        mPhase = phase;
    }

    RunId id() {
        return mId;
    }

    TrackedTask task() {
        return mTask;
    }

    TrackedWorker worker() {
        return mWorker;
    }

    WorkerIncarnation incarnation() {
        return mIncarnation;
    }

    /** Handles a start that reached a later incarnation of the worker than the intended one. */
    void onIncarnationChanged(WorkerIncarnation incarnation) {
        mIncarnation = incarnation;
    }

    RunPhase phase() {
        return mPhase;
    }

    /** Returns whether the task runs away from its data or from others of its group. */
    boolean isFar() {
        StepSpecification step = mTask.specification();
        return (step.preferredRack().isPresent() && !mWorker.hasLabel(step.preferredRack().get()))
                || (step.gang() && step.sameRack() && mTask.step().spansRacks());
    }

    boolean isStopping() {
        return mStopping;
    }

    void onStopRequested() {
        mStopping = true;
    }

    RunProgress progress() {
        return mProgress;
    }

    long measurement() {
        return mMeasurement;
    }

    /** Returns whether a measurement arrived since the last call. */
    boolean takeNewMeasurement() {
        boolean measured = mHasNewMeasurement;
        mHasNewMeasurement = false;
        return measured;
    }

    /**
     * Returns the estimated load of a latency-critical run without best-effort work on its worker.
     */
    InterferenceEstimator.Estimate ownLoad() {
        return mOwnLoad;
    }

    /**
     * Returns whether the agent may not know the traits of the run in a session. Each new session
     * may be one of a restarted agent, which knows only the runs that it starts.
     */
    boolean lacksTraitsIn(long session) {
        return mSession != session && mTraitsSession != session;
    }

    /** Records that the traits of the run were sent in a session. */
    void onTraitsSent(long session) {
        mTraitsSession = session;
    }

    /**
     * Records by when the run has certainly ended if no report has listed it, in milliseconds; the
     * lease of the worker does not bound it then.
     */
    void onUnlisted(long expiredByMs) {
        mUnlistedExpiredByMs = expiredByMs;
    }

    /** Returns whether the run may outlast the lease of its worker. */
    boolean mayOutlastLease(long nowMs) {
        return nowMs <= mUnlistedExpiredByMs;
    }

    /** Records that the start was sent. */
    void onStartSent(long session, long commandNumber, long nowMs) {
        mPhase = RunPhase.START_SENT;
        mSession = session;
        mCommandNumber = commandNumber;
        mStartSentAtMs = nowMs;
    }

    /** Returns when the start was sent, in milliseconds; only valid on the owner that sent it. */
    long startSentAtMs() {
        return mStartSentAtMs;
    }

    /** Updates the run from the listing of the worker. */
    void onSample(int percent, long measurement, long nowMs) {
        mPhase = RunPhase.RUNNING;
        mUnlistedExpiredByMs = Long.MIN_VALUE;
        mProgress.onSample(percent, nowMs);
        mMeasurement = measurement;
        mHasNewMeasurement = measurement > 0;
        long requestedMilli = mTask.specification().resources().processorsMilli();
        if (measurement >= requestedMilli * SLOWED_SHARE) {
            mNotSlowedAtMs = nowMs;
        } else if (isThrottled()) {
            mProgress.onThrottled(nowMs);
        }
    }

    private boolean isThrottled() {
        return mTask.specification().bestEffort()
                && mWorker.bestEffortPercent() <= THROTTLED_PERCENT;
    }

    /**
     * Returns whether the newest report of the worker lists the run as running; else its state is
     * not known.
     */
    boolean isListed() {
        return mPhase == RunPhase.RUNNING && mProgress.sampledAtMs() == mWorker.reportedAtMs();
    }

    /**
     * Returns how long the samples have shown less than the slowed-down share of the processors of
     * the run, in milliseconds.
     */
    long slowedMs() {
        return mProgress.sampledAtMs() - Math.max(mNotSlowedAtMs, mProgress.firstSampleAtMs());
    }

    /** Returns whether a report that omits the run proves that it is not on the worker. */
    boolean isProvenAbsentBy(long session, long lastCommandNumber) {
        return mPhase != RunPhase.PERSISTING
                && (mPhase == RunPhase.INHERITED
                        || mSession != session
                        || mCommandNumber <= lastCommandNumber);
    }

    /** Returns whether the run makes no progress although it is listed as running. */
    boolean isStalled() {
        return mProgress.isStalled(mTask.specification().estimateMs(), mTask.stalledRuns());
    }
}
