package org.hickorycleat.logic.admission;

import org.hickorycleat.model.result.ResultCode;

/** Result of admission control. */
public sealed interface Admission {
    /** The request may run; {@code permit} must be closed when it has ended. */
    record Admitted(AdmissionPermit permit) implements Admission {}

    /** The request was rejected and did not run. */
    record Rejected(ResultCode code, long retryAfterMs) implements Admission {}

    /** Capacity held by one admitted request. */
    interface AdmissionPermit extends AutoCloseable {
        /** Releases the capacity; further calls have no effect. */
        @Override
        void close();
    }
}
