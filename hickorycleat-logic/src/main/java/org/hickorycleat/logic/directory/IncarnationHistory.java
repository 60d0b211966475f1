package org.hickorycleat.logic.directory;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.job.WorkerIncarnation;

/**
 * Remembers when this entry first read in the job log that a run was placed on an incarnation of a
 * worker.
 */
public final class IncarnationHistory {
    /**
     * Maximum number of incarnations remembered for each worker; progress of other tasks may still
     * name earlier ones.
     */
    private static final int MAXIMUM_INCARNATIONS = 4;

    private final Map<ProcessId, Map<WorkerIncarnation, Long>> mFirstReadAtMs = new HashMap<>();

    /** Handles progress that was read at the given time, in milliseconds. */
    public synchronized void onProgress(JobProgress progress, long nowMs) {
        for (TaskProgress task : progress.tasks()) {
            boolean placed =
                    task.status() == TaskStatus.ACTIVE
                            && task.agent().isPresent()
                            && task.incarnation().isPresent();
            if (placed) {
                mFirstReadAtMs
                        .computeIfAbsent(task.agent().get(), agent -> newIncarnations())
                        .putIfAbsent(task.incarnation().get(), nowMs);
            }
        }
    }

    private static Map<WorkerIncarnation, Long> newIncarnations() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<WorkerIncarnation, Long> eldest) {
                return size() > MAXIMUM_INCARNATIONS;
            }
        };
    }

    /**
     * Returns for each agent how long the incarnation that was read last for the first time has
     * been known, in milliseconds.
     */
    public synchronized Map<ProcessId, Long> newestAgesMs(long nowMs) {
        Map<ProcessId, Long> agesMs = new HashMap<>();
        mFirstReadAtMs.forEach(
                (agent, incarnations) ->
                        agesMs.put(
                                agent,
                                nowMs
                                        - incarnations.values().stream()
                                                .mapToLong(Long::longValue)
                                                .max()
                                                .orElse(nowMs)));
        return agesMs;
    }
}
