package org.hickorycleat.daemon.logservice;

import java.time.Duration;

/**
 * Timeouts for requests to the log service.
 *
 * @param connect timeout for opening a connection
 * @param response timeout for an append, and for a read in addition to its long-poll wait
 */
public record LogServiceTimeouts(Duration connect, Duration response) {
    /**
     * A lost packet is retransmitted after about 200 ms and again after 400 ms, so 2 s tolerate
     * three losses in a row and leave 1 s of the 3 s within which a configuration must become
     * active.
     */
    public static final LogServiceTimeouts DEFAULT =
            new LogServiceTimeouts(Duration.ofSeconds(1), Duration.ofSeconds(2));
}
