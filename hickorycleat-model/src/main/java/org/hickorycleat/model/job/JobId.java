package org.hickorycleat.model.job;

/**
 * Identifier of a job, chosen by its caller; submissions with the same id are duplicates of one
 * job.
 */
public record JobId(String value) implements Comparable<JobId> {
    /** Creates the identifier; it must not be blank. */
    public JobId {
        if (value.isBlank()) {
            throw new IllegalArgumentException("job id is blank");
        }
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
