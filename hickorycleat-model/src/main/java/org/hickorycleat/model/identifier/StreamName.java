package org.hickorycleat.model.identifier;

/** Name of a stream of the log service. */
public record StreamName(String value) implements Comparable<StreamName> {
    /** Creates the identifier; the value must not be blank. */
    public StreamName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("stream name is blank");
        }
    }

    @Override
    public int compareTo(StreamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
