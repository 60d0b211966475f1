package org.hickorycleat.logic.routing;

import org.hickorycleat.model.result.ResultCode;

/** What a result says about the health of the target. */
enum AnswerKind {
    /** The target answered. */
    SUCCESS,
    /** The target failed at once. */
    FAILURE,
    /** The target did not answer in time, or its agent was lost. */
    NO_ANSWER,
    /** The result says nothing about the target. */
    NEUTRAL;

    static AnswerKind of(ResultCode code) {
        return switch (code) {
            case OK, ANSWER_TOO_LARGE -> SUCCESS;
            case TARGET_FAILED, INTERNAL -> FAILURE;
            case TARGET_TIMEOUT, AGENT_LOST -> NO_ANSWER;
            default -> NEUTRAL;
        };
    }
}
