package org.hickorycleat.logic.port;

/** The target ran the request, but its answer is larger than can be passed on. */
public final class AnswerTooLargeException extends Exception {
    /** Creates the exception. */
    public AnswerTooLargeException(int maximumBytes) {
        super("answer is larger than " + maximumBytes + " bytes");
    }
}
