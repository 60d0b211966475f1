package org.hickorycleat.model.identifier;

/** Identity of a task; a batch task keeps it over all its attempts. */
public record TaskId(String value) implements Comparable<TaskId> {
    /** Creates the identifier. */
    public TaskId {
        if (value.isBlank()) {
            throw new IllegalArgumentException("task id is blank");
        }
    }

    @Override
    public int compareTo(TaskId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
