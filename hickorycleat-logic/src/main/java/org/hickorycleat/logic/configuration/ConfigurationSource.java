package org.hickorycleat.logic.configuration;

import java.util.Locale;

/** Source from which a process obtained its configuration. */
public enum ConfigurationSource {
    /** Read from the configuration stream of the log. */
    LOG(true),
    /** Sent by an entry to another entry. */
    PEER(true),
    /** Sent by an agent to an entry: the configuration slice that the agent holds. */
    AGENT(false),
    /** Sent by an entry to an agent: the configuration slice for the agent's services. */
    ENTRY(false);

    private final boolean mComplete;

    ConfigurationSource(boolean complete) {
        mComplete = complete;
    }

    /** Returns whether the source provides complete manifests rather than configuration slices. */
    public boolean isComplete() {
        return mComplete;
    }

    /** Returns the lower-case name that is used in health output. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
