package org.hickorycleat.model.job;

/** Tells whether the lists of a worker have all of its runs, so that absence proves an end. */
public enum ListCompleteness {
    /** Every run that is on the worker, or whose end is not acknowledged, is listed. */
    COMPLETE,
    /** Further ends are listed only after the listed ones are acknowledged. */
    PARTIAL
}
