package org.hickorycleat.logic.ownership;

import org.hickorycleat.model.result.ResultCode;

/** Final result of a task. */
public record TaskResult(Outcome outcome, ResultCode code, String reason, long endedMs) {
    /** How the task ended. */
    public enum Outcome {
        /** Ran to its end. */
        SUCCEEDED,
        /** Failed or was rejected. */
        FAILED,
        /** Removed from the manifest. */
        CANCELLED,
        /** An instance of a service whose run ended; a replacement has its own identity. */
        REPLACED
    }
}
