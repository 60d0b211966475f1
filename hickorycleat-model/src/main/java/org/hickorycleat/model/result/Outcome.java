package org.hickorycleat.model.result;

import java.util.Locale;

/** Whether a request was executed, as far as its caller may conclude. */
public enum Outcome {
    /** The request was executed to its end. */
    DONE,
    /** The request was not executed and will not be. */
    NOT_RUN,
    /** The request may have been executed. */
    UNKNOWN;

    /** Returns the value of the header {@code Hickorycleat-Outcome}. */
    public String headerValue() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
