package org.hickorycleat.logic.log;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Health of a stream follower.
 *
 * @param nextOffset offset to read next
 * @param lastSuccessMs scheduler time of the last successful read, in milliseconds; empty before
 *     the first
 * @param failures number of failed reads since then
 * @param lastError message of the latest failure; empty after a successful read
 */
public record StreamHealth(
        long nextOffset, OptionalLong lastSuccessMs, int failures, Optional<String> lastError) {
    /** Returns whether the latest read succeeded. */
    public boolean isAvailable() {
        return failures == 0 && lastSuccessMs.isPresent();
    }
}
