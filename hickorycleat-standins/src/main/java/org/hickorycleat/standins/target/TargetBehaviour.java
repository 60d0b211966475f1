package org.hickorycleat.standins.target;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Runs requests on a limited number of slots with service times of a real service. */
final class TargetBehaviour {
    /** Shape of the Gamma distributed service time: sum of this many exponential stages. */
    private static final int STAGES = 4;

    private final ScheduledExecutorService mTimer;
    private final int mSlots;
    private final double mServiceMs;
    private final Queue<Runnable> mWaiting = new ArrayDeque<>();
    private int mRunning;
    private int mHighestRunning;
    private volatile double mSlowFactor = 1;
    private volatile boolean mFailing;
    private volatile boolean mPaused;
    private volatile boolean mLeaving;

    TargetBehaviour(ScheduledExecutorService timer, int slots, double serviceMs) {
        mTimer = timer;
        mSlots = slots;
        mServiceMs = serviceMs;
    }

    /** Runs {@code answer} after a service time, once a slot is free. */
    synchronized void run(Runnable answer) {
        if (mRunning >= mSlots || mPaused) {
            mWaiting.add(answer);
            return;
        }
        start(answer);
    }

    void control(double slowFactor, boolean failing, boolean paused, boolean leaving) {
        mSlowFactor = slowFactor;
        mFailing = failing;
        mPaused = paused;
        mLeaving = leaving;
        startWaiting();
    }

    boolean isFailing() {
        return mFailing;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    synchronized int highestRunning() {
        return mHighestRunning;
    }

    private void start(Runnable answer) {
        mRunning++;
        mHighestRunning = Math.max(mHighestRunning, mRunning);
        var unused = mTimer.schedule(() -> finish(answer), serviceMicros(), TimeUnit.MICROSECONDS);
    }

    private void finish(Runnable answer) {
        answer.run();
        synchronized (this) {
            mRunning--;
        }
        startWaiting();
    }

    private synchronized void startWaiting() {
        while (!mPaused && mRunning < mSlots && !mWaiting.isEmpty()) {
            start(mWaiting.remove());
        }
    }

    private long serviceMicros() {
        double sum = 0;
        for (int i = 0; i < STAGES; i++) {
            sum -= Math.log(1 - ThreadLocalRandom.current().nextDouble());
        }
        return (long) (sum / STAGES * mServiceMs * mSlowFactor * 1_000);
    }
}
