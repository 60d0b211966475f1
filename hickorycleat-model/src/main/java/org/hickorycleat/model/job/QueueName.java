package org.hickorycleat.model.job;

/** Name of a job queue in the configuration. */
public record QueueName(String value) implements Comparable<QueueName> {
    /** Creates the name; it must not be blank. */
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
