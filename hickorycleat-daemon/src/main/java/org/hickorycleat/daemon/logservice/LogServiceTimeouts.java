package org.hickorycleat.daemon.logservice;

import java.time.Duration;

/**
 * Limits on the exchanges with the log service.
 *
 * @param connect longest time to open a connection
 * @param response longest time for an append, and for a read beyond the time that it asks to wait
 */
public record LogServiceTimeouts(Duration connect, Duration response) {
    /**
     * A lost packet is retransmitted after about 200 ms and again after 400 ms, so 2 s outlast
     * three losses in a row and still leave 1 s of the 3 s in which a configuration takes effect.
     */
    public static final LogServiceTimeouts DEFAULT =
            new LogServiceTimeouts(Duration.ofSeconds(1), Duration.ofSeconds(2));
}
