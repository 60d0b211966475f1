package org.hickorycleat.logic.port;

/**
 * Thrown if the request did not reach the target, for example because the connection was refused.
 */
public final class TargetNotReachedException extends Exception {
    /** Creates the exception. */
    public TargetNotReachedException(String message, Throwable cause) {
        super(message, cause);
    }
}
