package org.hickorycleat.model.identifier;

/** Name of a hickorycleat process, unique in the fleet and taken from its settings. */
public record ProcessId(String value) implements Comparable<ProcessId> {
    /** Creates the identifier; the value must not be blank. */
    public ProcessId {
        if (value.isBlank()) {
            throw new IllegalArgumentException("process id is blank");
        }
    }

    @Override
    public int compareTo(ProcessId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
