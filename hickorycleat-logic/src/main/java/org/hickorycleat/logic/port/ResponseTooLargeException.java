package org.hickorycleat.logic.port;

/** The target ran the request, but its answer is larger than can be passed on. */
public final class ResponseTooLargeException extends Exception {
    /** Creates the exception. */
    public ResponseTooLargeException(int maximumBytes) {
        super("answer is larger than " + maximumBytes + " bytes");
    }
}
