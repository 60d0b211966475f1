package org.hickorycleat.model.identifier;

/** Name of a rack. */
public record RackId(String value) implements Comparable<RackId> {
    /** Creates the identifier; the value must not be blank. */
    public RackId {
        if (value.isBlank()) {
            throw new IllegalArgumentException("rack id is blank");
        }
    }

    @Override
    public int compareTo(RackId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
