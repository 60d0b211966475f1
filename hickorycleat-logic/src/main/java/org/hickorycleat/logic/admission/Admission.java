package org.hickorycleat.logic.admission;

import org.hickorycleat.model.result.ResultCode;

/** Result of admission control. */
public sealed interface Admission {
    /** The request may run; {@code permit} is closed when it has ended. */
    record Admitted(AutoCloseablePermit permit) implements Admission {}

    /** The request was refused and did not run. */
    record Refused(ResultCode code, long retryAfterMs) implements Admission {}

    /** Room for one admitted request. */
    interface AutoCloseablePermit extends AutoCloseable {
        /** Frees the room; only the first call counts. */
        @Override
        void close();
    }
}
