package org.hickorycleat.model.identifier;

/** Identity of a task; a batch task keeps it across all its attempts. */
public record TaskId(String value) implements Comparable<TaskId> {
    /** Creates the identifier; the value must not be blank. */
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
