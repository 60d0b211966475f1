package org.hickorycleat.standins.worker;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Faults that a test injects into a worker; all methods are thread-safe. */
final class WorkerFaults {
    private static final long MAXIMUM_PAUSE_MS = 600_000;

    private CountDownLatch mResumed = new CountDownLatch(0);
    private boolean mPaused;
    private boolean mFailing;
    private long mFailAfterMs = 100;
    private long mResponseDelayMs;
    private int mResponsesToLose;

    synchronized void setPaused(boolean paused) {
        if (paused == mPaused) {
            return;
        }
        mPaused = paused;
        if (paused) {
            mResumed = new CountDownLatch(1);
        } else {
            mResumed.countDown();
        }
    }

    synchronized boolean isPaused() {
        return mPaused;
    }

    synchronized void setFailing(boolean failing) {
        mFailing = failing;
    }

    synchronized boolean isFailing() {
        return mFailing;
    }

    synchronized void setFailAfterMs(long afterMs) {
        mFailAfterMs = afterMs;
    }

    synchronized long failAfterMs() {
        return mFailAfterMs;
    }

    synchronized void setResponseDelayMs(long responseDelayMs) {
        mResponseDelayMs = responseDelayMs;
    }

    synchronized long responseDelayMs() {
        return mResponseDelayMs;
    }

    synchronized void setResponsesToLose(int count) {
        mResponsesToLose = count;
    }

    synchronized int responsesToLose() {
        return mResponsesToLose;
    }

    /**
     * Returns whether to lose the next response; if so, decrements the number of responses to lose.
     */
    synchronized boolean loseNextResponse() {
        if (mResponsesToLose == 0) {
            return false;
        }
        mResponsesToLose--;
        return true;
    }

    void awaitResumed() throws InterruptedException {
        resumedLatch().await(MAXIMUM_PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    private synchronized CountDownLatch resumedLatch() {
        return mResumed;
    }
}
