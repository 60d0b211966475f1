package org.hickorycleat.logic.membership;

/** Condition of a target in the view of an entry. */
public enum TargetCondition {
    /** Takes new work. */
    READY,
    /** Announced that it takes nothing new. */
    LEAVING,
    /** Not reported for 2 s; gets no new work. */
    SUSPECT,
    /** Its agent is disconnected, no longer reports it or has been silent for 10 s. */
    GONE
}
