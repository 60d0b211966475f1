package org.hickorycleat.standins.worker;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Faults that a test switches on; all methods are thread-safe. */
final class WorkerFaults {
    private static final long LONGEST_PAUSE_MS = 600_000;

    private CountDownLatch mRunning = new CountDownLatch(0);
    private boolean mPaused;
    private boolean mFailing;
    private long mFailAfterMs = 100;
    private long mSlowMs;
    private int mLostAnswers;

    synchronized void paused(boolean paused) {
        if (paused == mPaused) {
            return;
        }
        mPaused = paused;
        if (paused) {
            mRunning = new CountDownLatch(1);
        } else {
            mRunning.countDown();
        }
    }

    synchronized boolean isPaused() {
        return mPaused;
    }

    synchronized void failing(boolean failing) {
        mFailing = failing;
    }

    synchronized boolean isFailing() {
        return mFailing;
    }

    synchronized void failAfterMs(long afterMs) {
        mFailAfterMs = afterMs;
    }

    synchronized long failAfterMs() {
        return mFailAfterMs;
    }

    synchronized void slowMs(long slowMs) {
        mSlowMs = slowMs;
    }

    synchronized long slowMs() {
        return mSlowMs;
    }

    synchronized void lostAnswers(int count) {
        mLostAnswers = count;
    }

    synchronized int lostAnswers() {
        return mLostAnswers;
    }

    /** Tells whether the answer being given is one to lose. */
    synchronized boolean loseAnswer() {
        if (mLostAnswers == 0) {
            return false;
        }
        mLostAnswers--;
        return true;
    }

    void awaitRunning() throws InterruptedException {
        latch().await(LONGEST_PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    private synchronized CountDownLatch latch() {
        return mRunning;
    }
}
