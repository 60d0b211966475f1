package org.hickorycleat.logic.port;

/** Takes a line for each decision that touches a request or changes what the process believes. */
@FunctionalInterface
public interface DecisionLog {
    /** A log that keeps nothing. */
    DecisionLog NONE = (event, pairs) -> {};

    /**
     * Records a decision.
     *
     * @param event name in snake case
     * @param pairs keys and values in turn
     */
    void record(String event, Object... pairs);
}
