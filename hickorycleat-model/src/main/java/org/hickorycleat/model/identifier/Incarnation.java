package org.hickorycleat.model.identifier;

/** Number assigned to a process at each start; a later start has a higher number. */
public record Incarnation(long value) implements Comparable<Incarnation> {
    /** Creates the identifier; the value must be at least 0. */
    public Incarnation {
        if (value < 0) {
            throw new IllegalArgumentException("incarnation is below 0: " + value);
        }
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
