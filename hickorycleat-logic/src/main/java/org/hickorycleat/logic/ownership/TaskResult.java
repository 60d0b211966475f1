package org.hickorycleat.logic.ownership;

import org.hickorycleat.model.result.ResultCode;

/** Final result of a task. */
public record TaskResult(Outcome outcome, ResultCode code, String reason, long endedMs) {
    /** How the task ended. */
    public enum Outcome {
        /** Completed successfully. */
        SUCCEEDED,
        /** Failed or was rejected. */
        FAILED,
        /** Removed from the manifest. */
        CANCELLED,
        /** Service instance whose attempt ended; its replacement has another identity. */
        REPLACED
    }
}
