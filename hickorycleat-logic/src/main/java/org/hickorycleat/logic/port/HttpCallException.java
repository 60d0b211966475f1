package org.hickorycleat.logic.port;

/** Thrown if an HTTP call received no complete response. */
public final class HttpCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mSent;

    /** Creates the exception. */
    public HttpCallException(String reason, boolean sent) {
        super(reason);
        mSent = sent;
    }

    /** Returns whether the request may have reached the server. */
    public boolean mayHaveBeenSent() {
        return mSent;
    }
}
