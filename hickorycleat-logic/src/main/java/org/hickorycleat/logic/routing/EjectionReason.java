package org.hickorycleat.logic.routing;

/** Why a target is ejected. */
public enum EjectionReason {
    /** It is not ejected. */
    NONE,
    /** It fails more often than its peers. */
    ERRORS,
    /** It is slower than its peers. */
    LATENCY,
    /** Requests are outstanding and none is answered. */
    PAUSED
}
