package org.hickorycleat.model.identifier;

/** Number of an instance of a service, from 0. */
public record InstanceNumber(long value) implements Comparable<InstanceNumber> {
    /** Creates the identifier; the value must be at least 0. */
    public InstanceNumber {
        if (value < 0) {
            throw new IllegalArgumentException("instance number is below 0: " + value);
        }
    }

    @Override
    public int compareTo(InstanceNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
