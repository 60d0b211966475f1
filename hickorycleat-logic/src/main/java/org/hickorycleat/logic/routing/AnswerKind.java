package org.hickorycleat.logic.routing;

import org.hickorycleat.model.result.ResultCode;

/** What a result says about the health of the target. */
enum AnswerKind {
    /** The target answered. */
    SUCCESS,
    /** The target failed or did not answer in time. */
    FAILURE,
    /** The result says nothing about the target. */
    NEUTRAL;

    static AnswerKind of(ResultCode code) {
        return switch (code) {
            case OK, ANSWER_TOO_LARGE -> SUCCESS;
            case TARGET_FAILED, TARGET_TIMEOUT, AGENT_LOST, INTERNAL -> FAILURE;
            default -> NEUTRAL;
        };
    }
}
