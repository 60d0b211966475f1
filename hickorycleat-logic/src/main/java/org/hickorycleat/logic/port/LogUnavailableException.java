package org.hickorycleat.logic.port;

/** The log service did not answer; an append may have taken effect. */
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
