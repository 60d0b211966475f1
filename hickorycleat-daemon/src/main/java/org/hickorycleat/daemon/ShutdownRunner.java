package org.hickorycleat.daemon;

import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.logging.EventLog;

/** Performs a graceful shutdown on SIGTERM or at the drain request of an operator. */
public final class ShutdownRunner {
    private static final EventLog LOG = EventLog.of(ShutdownRunner.class);
    private static final long POLL_INTERVAL_MS = 50;

    private final Lifecycle mProcess;
    private boolean mClosed;

    ShutdownRunner(Lifecycle process) {
        mProcess = process;
    }

    /** Drains the process, waits for work in progress and closes it. Runs in the shutdown hook. */
    void onSignal() {
        mProcess.drain();
        drainAndClose();
    }

    /** Waits until an operator requests a drain, then shuts down and exits. */
    void awaitDrain() throws InterruptedException {
        while (!mProcess.isDraining()) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        drainAndClose();
        System.exit(0);
    }

    private synchronized void drainAndClose() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        long startNanos = System.nanoTime();
        long timeoutNanos = mProcess.drainTimeout().toNanos();
        try {
            while (System.nanoTime() - startNanos < timeoutNanos && !isDrainComplete(startNanos)) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!mProcess.isIdle()) {
            LOG.event("drain_incomplete").warn();
        }
        mProcess.close();
    }

    private boolean isDrainComplete(long startNanos) {
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        return elapsedMs >= mProcess.minimumDrainDuration().toMillis() && mProcess.isIdle();
    }
}
