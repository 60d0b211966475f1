package org.hickorycleat.logic.port;

/** Records each decision that affects a request or changes the state known to the process. */
@FunctionalInterface
public interface DecisionLog {
    /** A log that discards every decision. */
    DecisionLog NONE = (event, pairs) -> {};

    /**
     * Records a decision.
     *
     * @param event name of the event in snake case
     * @param pairs alternating keys and values
     */
    void record(String event, Object... pairs);
}
