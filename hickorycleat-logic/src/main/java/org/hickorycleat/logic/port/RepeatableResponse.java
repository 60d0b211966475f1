package org.hickorycleat.logic.port;

/**
 * Response to one copy of a request that may have been sent more than once.
 *
 * @param unansweredCopies number of other copies of the request; each may have been executed, or
 *     may still be, whatever the response says
 */
public record RepeatableResponse(HttpResponse response, int unansweredCopies) {
    /** Returns whether no other copy of the request was sent. */
    public boolean isOfOnlyCopy() {
        return unansweredCopies == 0;
    }
}
