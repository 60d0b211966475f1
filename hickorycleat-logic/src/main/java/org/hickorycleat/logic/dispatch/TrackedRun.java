package org.hickorycleat.logic.dispatch;

import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.WorkerIncarnation;

/** A run that may be on a worker. */
final class TrackedRun {
    private static final int FULL_PERCENT = 100;

    /** Part of the processors asked for below which a run counts as slowed down. */
    private static final double SLOWED_SHARE = 0.35;

    private final RunId mId;
    private final TrackedTask mTask;
    private final TrackedWorker mWorker;
    private WorkerIncarnation mLife;
    private RunPhase mPhase;
    private long mSession;
    private long mOrder;
    private long mOrderedAtMs;
    private boolean mStopping;
    private int mPercent;
    private int mFirstPercent = -1;
    private long mFirstPercentAtMs;
    private long mAdvancedAtMs;
    private long mMeasurement;
    private boolean mMeasured;
    private final InterferenceEstimates.Estimate mOwnLoad = InterferenceEstimates.firstLoad();
    private long mFastAtMs = Long.MIN_VALUE / 2;

    TrackedRun(
            RunId id,
            TrackedTask task,
            TrackedWorker worker,
            WorkerIncarnation life,
            RunPhase phase) {
        mId = id;
        mTask = task;
        mWorker = worker;
        mLife = life;
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

    WorkerIncarnation life() {
        return mLife;
    }

    /** The start reached a later life of the worker than it was meant for. */
    void onLife(WorkerIncarnation life) {
        mLife = life;
    }

    RunPhase phase() {
        return mPhase;
    }

    boolean isStopping() {
        return mStopping;
    }

    void onStopOrdered() {
        mStopping = true;
    }

    int percent() {
        return mPercent;
    }

    long measurement() {
        return mMeasurement;
    }

    /** Tells whether a measurement came since the last call. */
    boolean takeNewMeasurement() {
        boolean measured = mMeasured;
        mMeasured = false;
        return measured;
    }

    /** Returns the load that a serving run has without neighbours. */
    InterferenceEstimates.Estimate ownLoad() {
        return mOwnLoad;
    }

    /** The start was sent. */
    void onOrdered(long session, long order, long nowMs) {
        mPhase = RunPhase.ORDERED;
        mSession = session;
        mOrder = order;
        mOrderedAtMs = nowMs;
        mAdvancedAtMs = nowMs;
    }

    /** Returns when the start was sent; only known to the owner that sent it. */
    long orderedAtMs() {
        return mOrderedAtMs;
    }

    /** The worker listed the run. */
    void onSample(int percent, long measurement, long nowMs) {
        if (mPhase != RunPhase.RUNNING) {
            mPhase = RunPhase.RUNNING;
            mFirstPercent = percent;
            mFirstPercentAtMs = nowMs;
            mAdvancedAtMs = nowMs;
        }
        if (percent != mPercent) {
            mAdvancedAtMs = nowMs;
        }
        mPercent = percent;
        mMeasurement = measurement;
        mMeasured = measurement > 0;
        long wanted = mTask.specification().resources().processorsMilli();
        if (measurement >= wanted * SLOWED_SHARE) {
            mFastAtMs = nowMs;
        }
    }

    /** Returns how long the run has worked at a small part of its pace, in milliseconds. */
    long slowedMs(long nowMs) {
        return mPhase == RunPhase.RUNNING ? nowMs - Math.max(mFastAtMs, mFirstPercentAtMs) : 0;
    }

    /** Tells whether a report that omits the run proves that it is not on the worker. */
    boolean isDisprovedBy(long session, long ordersSeen) {
        return mPhase != RunPhase.PERSISTING
                && (mPhase == RunPhase.INHERITED || mSession != session || mOrder <= ordersSeen);
    }

    /** Returns how long the run has not advanced, in milliseconds. */
    long stalledMs(long nowMs) {
        return mPhase == RunPhase.RUNNING ? nowMs - mAdvancedAtMs : 0;
    }

    /** Returns the time to the end at the pace so far, in milliseconds; -1 when unknown. */
    long remainingMs(long nowMs) {
        int advanced = mPercent - mFirstPercent;
        if (mPhase != RunPhase.RUNNING || advanced <= 0) {
            return -1;
        }
        return (nowMs - mFirstPercentAtMs) * (FULL_PERCENT - mPercent) / advanced;
    }
}
