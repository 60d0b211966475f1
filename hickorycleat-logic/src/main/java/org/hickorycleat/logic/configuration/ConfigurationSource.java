package org.hickorycleat.logic.configuration;

import java.util.Locale;

/** Where a process learned its configuration. */
public enum ConfigurationSource {
    /** Read from the log. */
    LOG(true),
    /** Sent by an entry to another entry. */
    PEER(true),
    /** Sent by an agent to an entry: the slice that the agent holds. */
    AGENT(false),
    /** Sent by an entry to an agent: the slice for the agent's services. */
    ENTRY(false);

    private final boolean mComplete;

    ConfigurationSource(boolean complete) {
        mComplete = complete;
    }

    /** Tells whether it provides whole manifests rather than slices. */
    public boolean isComplete() {
        return mComplete;
    }

    /** Returns the word used in health output. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
