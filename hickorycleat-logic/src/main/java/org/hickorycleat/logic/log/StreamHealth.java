package org.hickorycleat.logic.log;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * State of the follower of a stream.
 *
 * @param nextOffset offset to read next
 * @param lastSuccessMs time of the last successful read by the scheduler's clock; empty before it
 * @param failures failed reads since then
 * @param lastError message of the newest failure, until a read succeeds
 */
public record StreamHealth(
        long nextOffset, OptionalLong lastSuccessMs, int failures, Optional<String> lastError) {
    /** Tells whether the newest read succeeded. */
    public boolean isAvailable() {
        return failures == 0 && lastSuccessMs.isPresent();
    }
}
