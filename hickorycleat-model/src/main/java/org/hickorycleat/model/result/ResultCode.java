package org.hickorycleat.model.result;

import java.util.Optional;

/** Numbered result codes; docs/result-codes.md lists the same table for operators. */
public enum ResultCode {
    /** The request ran and the response is complete. */
    OK(0, Outcome.DONE, 200),
    /** The request could not be parsed. */
    MALFORMED_REQUEST(100, Outcome.NOT_RUN, 400),
    /** The active configuration has no service of that name. */
    UNKNOWN_SERVICE(101, Outcome.NOT_RUN, 404),
    /** The criticality is not one of critical, important, normal, sheddable. */
    INVALID_CRITICALITY(102, Outcome.NOT_RUN, 400),
    /** The deadline is not a whole number of milliseconds from 1 to 600000. */
    INVALID_DEADLINE(103, Outcome.NOT_RUN, 400),
    /** The idempotency key is not 1 to 128 visible ASCII characters. */
    INVALID_IDEMPOTENCY_KEY(104, Outcome.NOT_RUN, 400),
    /** The body is larger than 512 KiB. */
    BODY_TOO_LARGE(105, Outcome.NOT_RUN, 413),
    /** The active configuration has no team of that name. */
    UNKNOWN_TEAM(106, Outcome.NOT_RUN, 400),
    /** The idempotency key was used before for a request with different content. */
    IDEMPOTENCY_KEY_REUSED(107, Outcome.NOT_RUN, 422),
    /**
     * Admission control rejected the request; Retry-After gives the time to wait before a retry.
     */
    OVERLOADED(200, Outcome.NOT_RUN, 429),
    /** No target of the service can accept the request. */
    NO_TARGET(201, Outcome.NOT_RUN, 503),
    /** The deadline passed before the request started. */
    DEADLINE_EXCEEDED(202, Outcome.NOT_RUN, 504),
    /** The target is draining and accepts no new requests. */
    TARGET_LEAVING(203, Outcome.NOT_RUN, 503),
    /** All slots and the queue of the target are full. */
    AGENT_QUEUE_FULL(204, Outcome.NOT_RUN, 503),
    /** The process has no active configuration. */
    NO_CONFIGURATION(205, Outcome.NOT_RUN, 503),
    /** The instance may have lost the idempotency key record; this duplicate was not run. */
    KEY_MEMORY_UNCERTAIN(206, Outcome.NOT_RUN, 503),
    /** The mapping of keys to instances has just changed; this duplicate was not run. */
    MAPPING_CHANGED(207, Outcome.NOT_RUN, 503),
    /** The request was cancelled before it ran. */
    CANCELLED(208, Outcome.NOT_RUN, 499),
    /** The process is draining and accepts no new requests. */
    SHUTTING_DOWN(209, Outcome.NOT_RUN, 503),
    /** The target closed the connection or sent a malformed response after the request was sent. */
    TARGET_FAILED(300, Outcome.UNKNOWN, 502),
    /** The deadline passed while the target was processing the request. */
    TARGET_TIMEOUT(301, Outcome.UNKNOWN, 504),
    /** The connection to the agent was lost while the agent held the request. */
    AGENT_LOST(302, Outcome.UNKNOWN, 502),
    /** An earlier attempt of the request may have run; it is not run again. */
    OUTCOME_UNKNOWN(303, Outcome.UNKNOWN, 502),
    /** The target responded with a body larger than 512 KiB. */
    ANSWER_TOO_LARGE(304, Outcome.DONE, 502),
    /** The peer uses another protocol version. */
    PROTOCOL_VERSION(400, Outcome.NOT_RUN, 400),
    /** The message type is unknown. */
    UNKNOWN_MESSAGE(401, Outcome.NOT_RUN, 400),
    /** The frame is larger than 1 MiB. */
    FRAME_TOO_LARGE(402, Outcome.NOT_RUN, 413),
    /** The frame could not be decoded. */
    MALFORMED_FRAME(403, Outcome.NOT_RUN, 400),
    /** The epoch is older than the highest one seen for the shard. */
    STALE_EPOCH(500, Outcome.NOT_RUN, 409),
    /** The attempt is older than the last one seen for the task. */
    STALE_ATTEMPT(501, Outcome.NOT_RUN, 409),
    /** The worker has too few free processors, memory or accelerators. */
    INSUFFICIENT_RESOURCES(502, Outcome.NOT_RUN, 409),
    /** The lease had expired when the message arrived. */
    LEASE_EXPIRED(503, Outcome.NOT_RUN, 409),
    /** The worker has no such task. */
    UNKNOWN_TASK(504, Outcome.NOT_RUN, 404),
    /** The task ended with a failure. */
    TASK_FAILED(505, Outcome.DONE, 500),
    /** No worker of the fleet can ever run the task. */
    NEVER_RUNNABLE(506, Outcome.NOT_RUN, 422),
    /** The team has exhausted its quota. */
    QUOTA_EXCEEDED(507, Outcome.NOT_RUN, 403),
    /** The settings file has errors. */
    INVALID_SETTINGS(600, Outcome.NOT_RUN, 400),
    /** The manifest has errors. */
    INVALID_MANIFEST(601, Outcome.NOT_RUN, 422),
    /** The manifest is based on a version that is no longer current. */
    STALE_BASE(602, Outcome.NOT_RUN, 409),
    /** The log service did not respond; the append may have been committed. */
    LOG_UNAVAILABLE(603, Outcome.UNKNOWN, 503),
    /** The command line is invalid. */
    USAGE(604, Outcome.NOT_RUN, 400),
    /** The process could not be reached. */
    UNREACHABLE(605, Outcome.NOT_RUN, 503),
    /** The configuration was accepted, but was not observed to be active within the timeout. */
    NOT_IN_FORCE(606, Outcome.UNKNOWN, 504),
    /** The requested item does not exist. */
    NOT_FOUND(607, Outcome.NOT_RUN, 404),
    /** An internal error of hickorycleat. */
    INTERNAL(900, Outcome.UNKNOWN, 500),
    // Last, because the position of a constant is its number on the wire.
    /** The manifest is valid, but parts of it cannot have the effect that they ask for. */
    DOUBTFUL_MANIFEST(608, Outcome.NOT_RUN, 422);

    private final int mNumber;
    private final Outcome mOutcome;
    private final int mHttpStatus;

    ResultCode(int number, Outcome outcome, int httpStatus) {
        mNumber = number;
        mOutcome = outcome;
        mHttpStatus = httpStatus;
    }

    /** Returns the stable number of the code. */
    public int number() {
        return mNumber;
    }

    /** Returns whether the request was executed. */
    public Outcome outcome() {
        return mOutcome;
    }

    /** Returns the HTTP status with which a caller receives the code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /**
     * Returns the exit code of the command line: 0 for success, else the hundreds of the number
     * plus one.
     */
    public int exitCode() {
        return this == OK ? 0 : mNumber / 100 + 1;
    }

    /** Returns the code with the given number; empty if there is none. */
    public static Optional<ResultCode> ofNumber(int number) {
        for (ResultCode code : values()) {
            if (code.mNumber == number) {
                return Optional.of(code);
            }
        }
        return Optional.empty();
    }
}
