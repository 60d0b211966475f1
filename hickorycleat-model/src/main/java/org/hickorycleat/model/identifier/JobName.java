package org.hickorycleat.model.identifier;

/** Name of a batch job in the manifest. */
public record JobName(String value) implements Comparable<JobName> {
    /** Creates the identifier; the value must not be blank. */
    public JobName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("job name is blank");
        }
    }

    @Override
    public int compareTo(JobName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
