package org.hickorycleat.daemon;

import java.time.Duration;

/** Lifecycle of a process: start and graceful shutdown. */
public interface Lifecycle extends AutoCloseable {
    /** Starts serving. */
    void start() throws InterruptedException;

    /** Rejects new work while work in progress finishes. */
    void drain();

    /** Returns whether a drain was requested. */
    boolean isDraining();

    /** Returns whether no work is in progress. */
    boolean isIdle();

    /** Returns the maximum time that a drain waits for work in progress. */
    Duration drainTimeout();

    /** Returns the minimum duration of a drain, which gives peers time to be notified of it. */
    default Duration minimumDrainDuration() {
        return Duration.ofSeconds(2);
    }

    @Override
    void close();
}
