package org.hickorycleat.model.result;

import java.util.Locale;

/** What a caller may conclude about its request. */
public enum Outcome {
    /** The request ran and ended. */
    DONE,
    /** The request did not run and will not run. */
    NOT_RUN,
    /** The request may or may not have run. */
    UNKNOWN;

    /** Returns the word used in the header {@code Hickorycleat-Outcome}. */
    public String headerValue() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
