package org.hickorycleat.standins.target;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Runs requests on a limited number of slots with Gamma-distributed service times. */
final class TargetBehaviour {
    /** Shape of the Gamma distribution: each service time sums this many exponential stages. */
    private static final int GAMMA_STAGES = 4;

    private final ScheduledExecutorService mTimer;
    private final int mSlots;
    private final double mMeanServiceMs;
    private final Queue<Runnable> mQueue = new ArrayDeque<>();
    private int mRunning;
    private int mPeakRunning;
    private volatile double mSlowFactor = 1;
    private volatile boolean mFailing;
    private volatile boolean mPaused;
    private volatile boolean mLeaving;

    TargetBehaviour(ScheduledExecutorService timer, int slots, double meanServiceMs) {
        mTimer = timer;
        mSlots = slots;
        mMeanServiceMs = meanServiceMs;
    }

    /**
     * Runs {@code response} after a service time on a slot, and queues it while no slot is free.
     */
    synchronized void submit(Runnable response) {
        if (mRunning >= mSlots || mPaused) {
            mQueue.add(response);
            return;
        }
        start(response);
    }

    void configure(double slowFactor, boolean failing, boolean paused, boolean leaving) {
        mSlowFactor = slowFactor;
        mFailing = failing;
        mPaused = paused;
        mLeaving = leaving;
        startQueued();
    }

    boolean isFailing() {
        return mFailing;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    synchronized int peakRunning() {
        return mPeakRunning;
    }

    private void start(Runnable response) {
        mRunning++;
        mPeakRunning = Math.max(mPeakRunning, mRunning);
        var unused =
                mTimer.schedule(() -> finish(response), drawServiceMicros(), TimeUnit.MICROSECONDS);
    }

    private void finish(Runnable response) {
        response.run();
        synchronized (this) {
            mRunning--;
        }
        startQueued();
    }

    private synchronized void startQueued() {
        while (!mPaused && mRunning < mSlots && !mQueue.isEmpty()) {
            start(mQueue.remove());
        }
    }

    private long drawServiceMicros() {
        double sum = 0;
        for (int i = 0; i < GAMMA_STAGES; i++) {
            sum -= Math.log(1 - ThreadLocalRandom.current().nextDouble());
        }
        return (long) (sum / GAMMA_STAGES * mMeanServiceMs * mSlowFactor * 1_000);
    }
}
