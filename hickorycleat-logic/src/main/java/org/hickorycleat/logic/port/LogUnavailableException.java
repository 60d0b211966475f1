package org.hickorycleat.logic.port;

/** Thrown if the log service did not respond; an append may have been committed. */
public final class LogUnavailableException extends Exception {
    /** Creates the exception. */
    public LogUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates the exception without a cause. */
    public LogUnavailableException(String message) {
        super(message);
    }
}
