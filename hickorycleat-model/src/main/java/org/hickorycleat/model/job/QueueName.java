package org.hickorycleat.model.job;

/** Name of a queue of jobs in the configuration. */
public record QueueName(String value) implements Comparable<QueueName> {
    /** Creates the name. */
    public QueueName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("queue name is blank");
        }
    }

    @Override
    public int compareTo(QueueName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
