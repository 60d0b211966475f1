package org.hickorycleat.logic.supervision;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorycleat.logic.interference.LatencyCriticalLoad;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskTraits;

/**
 * Measures for how long each latency-critical run of a worker has missed its latency target.
 *
 * <p>Load pattern: best-effort jobs start beside a latency-critical task as fast as others end, or
 * their estimated effect is too low, so that shares lowered in proportion leave the task above its
 * target for seconds. Measurements are rough: one just below the target does not end a miss.
 */
final class TargetMissTimer {
    /** Load below which a miss has certainly ended, despite the error of the measurement. */
    private static final double MET_LOAD = 0.745;

    private final Map<RunId, Long> mMissedMs = new HashMap<>();
    private long mUpdatedAtMs = Long.MAX_VALUE;

    /** Updates the times from new measurements. */
    void update(Collection<RunSample> samples, Map<RunId, TaskTraits> traits, long nowMs) {
        long passedMs = Math.max(0, nowMs - mUpdatedAtMs);
        mUpdatedAtMs = nowMs;
        Set<RunId> listed = new HashSet<>();
        for (RunSample sample : samples) {
            TaskTraits taskTraits = traits.get(sample.run());
            if (taskTraits != null && taskTraits.targetLatencyMs() > 0) {
                listed.add(sample.run());
                update(sample, taskTraits.targetLatencyMs(), passedMs);
            }
        }
        mMissedMs.keySet().retainAll(listed);
    }

    private void update(RunSample sample, int targetMs, long passedMs) {
        double load = LatencyCriticalLoad.of(sample.measurement(), targetMs);
        if (load < MET_LOAD) {
            mMissedMs.remove(sample.run());
        } else if (load >= LatencyCriticalLoad.LOAD_AT_TARGET) {
            // A measurement does not say since when it holds.
            mMissedMs.compute(
                    sample.run(), (run, missedMs) -> missedMs == null ? 0 : missedMs + passedMs);
        }
        // In between, either the miss has ended or the measurement is too low: no time counts, so
        // that a task that is kept just below its target does not count as missing it.
    }

    /** Returns the longest time for which a run has missed its target, in milliseconds. */
    long longestMissMs() {
        return mMissedMs.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }
}
