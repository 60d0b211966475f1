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
    private static final int PART_COUNT = 4;

    /** Creates the key; throws {@link IllegalArgumentException} if a number is negative. */
    public TaskKey {
        if (occurrence < 0 || step < 0 || index < 0) {
            throw new IllegalArgumentException("task key numbers must not be negative");
        }
    }

    /** Parses the output of {@link #toString()}; returns empty if the text is malformed. */
    public static Optional<TaskKey> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PART_COUNT || parts[0].isBlank()) {
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
