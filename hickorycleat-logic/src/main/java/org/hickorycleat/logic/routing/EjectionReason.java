package org.hickorycleat.logic.routing;

/** Reason for the ejection of a target. */
public enum EjectionReason {
    /** The target is not ejected. */
    NONE,
    /** The target fails more often than its peers. */
    ERRORS,
    /** The target is slower than its peers. */
    LATENCY,
    /** The target has outstanding requests and responds to none of them. */
    PAUSED
}
