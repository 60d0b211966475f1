package org.hickorycleat.logic.port;

/** The store gave no usable answer to a read. */
public final class StoreUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the failure. */
    public StoreUnavailableException(String reason) {
        super(reason);
    }
}
