package org.hickorycleat.logic.port;

/** Thrown if the store gave no usable response to a read. */
public final class StoreUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public StoreUnavailableException(String reason) {
        super(reason);
    }
}
