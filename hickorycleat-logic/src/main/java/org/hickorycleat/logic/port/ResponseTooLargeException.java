package org.hickorycleat.logic.port;

/** Thrown if the target executed the request, but its response is too large to forward. */
public final class ResponseTooLargeException extends Exception {
    /** Creates the exception. */
    public ResponseTooLargeException(int maximumBytes) {
        super("response is larger than " + maximumBytes + " bytes");
    }
}
