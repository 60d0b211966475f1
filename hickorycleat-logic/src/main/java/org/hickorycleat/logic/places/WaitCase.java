package org.hickorycleat.logic.places;

import java.util.OptionalLong;
import org.hickorycleat.model.job.TaskKey;

/**
 * A ready task whose rack has no place for it now. All times are in milliseconds of the clock of
 * the owner.
 *
 * @param readySinceMs when the owner first could have started the task
 * @param nearStartMs expected start in the rack; {@link WorkerTimeline#NEVER} if none is expected
 * @param nearDurationMs expected duration in the rack, in milliseconds
 * @param farDurationMs expected duration elsewhere, in milliseconds
 * @param latestFarStartMs last start elsewhere with which the job is expected to meet its
 *     objective; empty if unknown
 */
public record WaitCase(
        TaskKey task,
        long nowMs,
        long readySinceMs,
        long nearStartMs,
        double nearDurationMs,
        double farDurationMs,
        OptionalLong latestFarStartMs) {}
