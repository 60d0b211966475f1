package org.hickorycleat.model.job;

import java.util.Optional;

/**
 * Identifies one task of a job.
 *
 * @param occurrence number of the occurrence of a scheduled job, 0 for the others
 * @param step number of the step, from 0
 * @param index number of the task within its step, from 0
 */
public record TaskKey(JobId job, int occurrence, int step, int index) {
    private static final int PARTS = 4;

    /** Creates the key; no number may be negative. */
    public TaskKey {
        if (occurrence < 0 || step < 0 || index < 0) {
            throw new IllegalArgumentException("negative number in task key");
        }
    }

    /** Parses the form that {@link #toString()} writes; empty when the text has another form. */
    public static Optional<TaskKey> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS || parts[0].isBlank()) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new TaskKey(
                            new JobId(parts[0]),
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2]),
                            Integer.parseInt(parts[3])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
