package org.hickorycleat.model.identifier;

/** Number of a connection between two processes; a reconnect has a higher number. */
public record SessionNumber(long value) implements Comparable<SessionNumber> {
    /** Creates the identifier; the value must be at least 0. */
    public SessionNumber {
        if (value < 0) {
            throw new IllegalArgumentException("session number is below 0: " + value);
        }
    }

    @Override
    public int compareTo(SessionNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
