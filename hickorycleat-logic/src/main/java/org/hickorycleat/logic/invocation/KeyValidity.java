package org.hickorycleat.logic.invocation;

import java.time.Duration;

/**
 * Times within which a request with an idempotency key runs at most once.
 *
 * <p>A caller may submit a key again until {@code validity} after its first submission. Such a copy
 * reaches the agent up to {@code attemptWindow} plus {@code maximumTransit} later, so an agent that
 * may lack the record of the key must reject it for longer than the validity.
 *
 * @param validity time for which a caller may reuse a key
 * @param attemptWindow time after the submission within which an entry makes attempts
 * @param maximumTransit maximum time from entry to agent; each of the connections of a forwarded
 *     request is closed after 5 s of silence
 * @param configurationDelay maximum time until a configuration reaches all processes
 */
public record KeyValidity(
        Duration validity,
        Duration attemptWindow,
        Duration maximumTransit,
        Duration configurationDelay) {
    /** Default times with a validity of 60 s. */
    public static final KeyValidity STANDARD =
            new KeyValidity(
                    Duration.ofSeconds(60),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(3));

    /** Returns the default times with another validity. */
    public static KeyValidity of(Duration validity) {
        return new KeyValidity(
                validity,
                STANDARD.attemptWindow,
                STANDARD.maximumTransit,
                STANDARD.configurationDelay);
    }

    /**
     * Returns the time after the start of an agent during which it may lack the record of a key.
     */
    public Duration missingRecordWindow() {
        return validity.plus(attemptWindow).plus(maximumTransit);
    }

    /** Returns the time after a change of the mapping during which moved keys are rejected. */
    public Duration mappingChangeWindow() {
        return missingRecordWindow().plus(configurationDelay);
    }

    /** Returns the time for which the record of a key is kept after its execution has ended. */
    public Duration retention() {
        Duration doubled = validity.multipliedBy(2);
        return doubled.compareTo(missingRecordWindow()) > 0 ? doubled : missingRecordWindow();
    }
}
