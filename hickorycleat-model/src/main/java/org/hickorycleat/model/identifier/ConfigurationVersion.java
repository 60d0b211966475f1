package org.hickorycleat.model.identifier;

/**
 * Version of the configuration: the offset of its manifest in the configuration stream, or -1 for
 * none.
 */
public record ConfigurationVersion(long value) implements Comparable<ConfigurationVersion> {
    /** Creates the identifier; the value must be at least -1. */
    public ConfigurationVersion {
        if (value < -1) {
            throw new IllegalArgumentException("configuration version is below -1: " + value);
        }
    }

    @Override
    public int compareTo(ConfigurationVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
