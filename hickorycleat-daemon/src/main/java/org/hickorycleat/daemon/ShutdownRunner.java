package org.hickorycleat.daemon;

import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.logging.EventLog;

/** Turns SIGTERM and drain requests of operators into a graceful shutdown. */
public final class ShutdownRunner {
    private static final EventLog LOG = EventLog.of(ShutdownRunner.class);
    private static final long POLL_MS = 50;

    private final Lifecycle mProcess;
    private boolean mClosed;

    ShutdownRunner(Lifecycle process) {
        mProcess = process;
    }

    /** Runs in the shutdown hook: drains, waits for work in progress, closes. */
    void onSignal() {
        mProcess.drain();
        finish();
    }

    /** Waits until an operator asks for a drain, then ends the process. */
    void awaitDrain() throws InterruptedException {
        while (!mProcess.isDraining()) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        finish();
        System.exit(0);
    }

    private synchronized void finish() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        long startNanos = System.nanoTime();
        long limitNanos = mProcess.drainTimeout().toNanos();
        try {
            while (System.nanoTime() - startNanos < limitNanos && !mayExit(startNanos)) {
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!mProcess.isIdle()) {
            LOG.event("drain_incomplete").warn();
        }
        mProcess.close();
    }

    private boolean mayExit(long startNanos) {
        long passedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        return passedMs >= mProcess.minimumDrainDuration().toMillis() && mProcess.isIdle();
    }
}
