package org.hickorycleat.model.identifier;

/** Name of an availability zone. */
public record ZoneId(String value) implements Comparable<ZoneId> {
    /** Creates the identifier; the value must not be blank. */
    public ZoneId {
        if (value.isBlank()) {
            throw new IllegalArgumentException("availability zone is blank");
        }
    }

    @Override
    public int compareTo(ZoneId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
