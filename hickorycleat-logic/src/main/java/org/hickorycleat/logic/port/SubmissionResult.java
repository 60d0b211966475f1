package org.hickorycleat.logic.port;

import java.util.Optional;

/**
 * Result of a submission of a job.
 *
 * @param returnAfterMs time after which a caller whose job was not accepted should submit it again,
 *     in milliseconds; empty if unknown
 */
public record SubmissionResult(JobChangeResult result, Optional<Long> returnAfterMs) {
    /** Returns a result without a time to return. */
    public static SubmissionResult of(JobChangeResult result) {
        return new SubmissionResult(result, Optional.empty());
    }

    /** Returns the rejection of a job for load. */
    public static SubmissionResult rejected(long returnAfterMs) {
        return new SubmissionResult(JobChangeResult.NOT_DONE, Optional.of(returnAfterMs));
    }
}
