package org.hickorycleat.model.message;

/** State that a target announces. */
public enum TargetState {
    /** Accepts requests. */
    READY,
    /** Draining: accepts no new requests. */
    LEAVING
}
