package org.hickorycleat.logic.membership;

/** Condition of a target as seen by an entry. */
public enum TargetCondition {
    /** The target accepts new requests. */
    READY,
    /** The target announced that it drains and accepts no new requests. */
    LEAVING,
    /** The target was not reported for 2 s and receives no new requests. */
    SUSPECT,
    /** The agent disconnected, no longer reports the target or has not reported for 10 s. */
    GONE
}
