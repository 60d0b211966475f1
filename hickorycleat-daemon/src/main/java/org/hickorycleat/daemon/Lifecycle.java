package org.hickorycleat.daemon;

import java.time.Duration;

/** Start and graceful shutdown of a process. */
public interface Lifecycle extends AutoCloseable {
    /** Starts to serve. */
    void start() throws InterruptedException;

    /** Refuses new work from now on. */
    void drain();

    /** Tells whether a drain was asked for. */
    boolean isDraining();

    /** Tells whether nothing is in progress. */
    boolean isIdle();

    /** Returns how long a drain may wait for work in progress. */
    Duration drainTimeout();

    /** Returns how long a drain lasts at least, so that peers learn of it. */
    default Duration minimumDrainDuration() {
        return Duration.ofSeconds(2);
    }

    @Override
    void close();
}
