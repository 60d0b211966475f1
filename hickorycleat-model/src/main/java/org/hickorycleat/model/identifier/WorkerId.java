package org.hickorycleat.model.identifier;

/** Name of a worker. */
public record WorkerId(String value) implements Comparable<WorkerId> {
    /** Creates the identifier; the value must not be blank. */
    public WorkerId {
        if (value.isBlank()) {
            throw new IllegalArgumentException("worker id is blank");
        }
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
