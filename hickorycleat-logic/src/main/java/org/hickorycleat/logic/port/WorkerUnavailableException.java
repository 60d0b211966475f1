package org.hickorycleat.logic.port;

/** Thrown if the worker did not respond; the action may have been executed. */
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
