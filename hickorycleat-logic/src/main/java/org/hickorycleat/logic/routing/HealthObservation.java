package org.hickorycleat.logic.routing;

import org.hickorycleat.model.result.ResultCode;

/** What the result of an attempt shows about the health of the target. */
enum HealthObservation {
    /** The target responded. */
    SUCCESS,
    /** The target or its agent reported a failure. */
    FAILURE,
    /** The target did not respond in time, or its agent was lost. */
    NO_ANSWER,
    /** The result shows nothing about the health of the target. */
    NEUTRAL;

    static HealthObservation of(ResultCode code) {
        return switch (code) {
            case OK, ANSWER_TOO_LARGE -> SUCCESS;
            case TARGET_FAILED, INTERNAL -> FAILURE;
            case TARGET_TIMEOUT, AGENT_LOST -> NO_ANSWER;
            default -> NEUTRAL;
        };
    }
}
