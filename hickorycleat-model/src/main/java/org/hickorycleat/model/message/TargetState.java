package org.hickorycleat.model.message;

/** State that a target announces. */
public enum TargetState {
    /** Takes requests. */
    READY,
    /** Takes nothing new. */
    LEAVING
}
