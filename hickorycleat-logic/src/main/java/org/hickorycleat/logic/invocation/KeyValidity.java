package org.hickorycleat.logic.invocation;

import java.time.Duration;

/**
 * Times within which an idempotency key is safe.
 *
 * <p>A caller may submit a key again until {@code validity} after it first did. Such a copy reaches
 * the agent up to {@code launch} plus {@code transit} later, so an agent that may lack the record
 * of the key has to refuse it for longer than the validity.
 *
 * @param validity time for which a caller may reuse a key
 * @param launch time after the submission within which an entry makes attempts
 * @param transit time that an attempt takes to the agent at most; the connections of a forwarded
 *     request are closed after 5 s of silence each
 * @param spread time that a configuration takes to reach all processes
 */
public record KeyValidity(Duration validity, Duration launch, Duration transit, Duration spread) {
    /** Validity of 60 s. */
    public static final KeyValidity STANDARD =
            new KeyValidity(
                    Duration.ofSeconds(60),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(3));

    /** Returns the standard times with another validity. */
    public static KeyValidity of(Duration validity) {
        return new KeyValidity(validity, STANDARD.launch, STANDARD.transit, STANDARD.spread);
    }

    /** Returns the time after the start of an agent in which it may lack the record of a key. */
    public Duration uncertainty() {
        return validity.plus(launch).plus(transit);
    }

    /** Returns the time after a change of the mapping in which keys that moved are refused. */
    public Duration mappingWindow() {
        return uncertainty().plus(spread);
    }

    /** Returns the time for which the record of a key is kept after its request has ended. */
    public Duration retention() {
        Duration twice = validity.multipliedBy(2);
        return twice.compareTo(uncertainty()) > 0 ? twice : uncertainty();
    }
}
