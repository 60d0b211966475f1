package org.hickorycleat.logic.port;

/** The worker did not answer; the action may have taken effect. */
public final class WorkerUnavailableException extends Exception {
    /** Creates the exception. */
    public WorkerUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates the exception without a cause. */
    public WorkerUnavailableException(String message) {
        super(message);
    }
}
