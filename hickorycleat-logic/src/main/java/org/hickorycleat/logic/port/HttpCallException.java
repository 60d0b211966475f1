package org.hickorycleat.logic.port;

/** No whole response came. */
public final class HttpCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mSent;

    /** Creates the failure. */
    public HttpCallException(String reason, boolean sent) {
        super(reason);
        mSent = sent;
    }

    /** Tells whether the call may have reached the other side. */
    public boolean mayHaveBeenSent() {
        return mSent;
    }
}
