package org.hickorycleat.model.identifier;

/** Number of an attempt of a task, from 1. */
public record AttemptNumber(long value) implements Comparable<AttemptNumber> {
    /** Creates the identifier; the value must be at least 1. */
    public AttemptNumber {
        if (value < 1) {
            throw new IllegalArgumentException("attempt number is below 1: " + value);
        }
    }

    @Override
    public int compareTo(AttemptNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
