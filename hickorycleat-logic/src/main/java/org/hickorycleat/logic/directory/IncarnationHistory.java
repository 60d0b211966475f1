package org.hickorycleat.logic.directory;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.job.WorkerIncarnation;

/**
 * Remembers when this entry first read in the job log that a run was placed, and that one was
 * placed on an incarnation of a worker.
 */
public final class IncarnationHistory {
    /**
     * Maximum number of incarnations remembered for each worker; progress of other tasks may still
     * name earlier ones.
     */
    private static final int MAXIMUM_INCARNATIONS = 4;

    private final Map<ProcessId, Map<WorkerIncarnation, Long>> mFirstReadAtMs = new HashMap<>();
    private final Map<JobId, Map<TaskKey, PlacedRun>> mPlacedRuns = new HashMap<>();

    /** The latest run of a task, and when it was first read. */
    private record PlacedRun(RunId run, long firstReadAtMs) {}

    /** Handles progress that was read at the given time, in milliseconds. */
    public synchronized void onProgress(JobProgress progress, long nowMs) {
        for (TaskProgress task : progress.tasks()) {
            updatePlacedRun(progress.id(), task, nowMs);
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

    private void updatePlacedRun(JobId job, TaskProgress progress, long nowMs) {
        TaskKey task = new TaskKey(job, progress.occurrence(), progress.step(), progress.index());
        Map<TaskKey, PlacedRun> runs = mPlacedRuns.computeIfAbsent(job, key -> new HashMap<>());
        if (progress.status() != TaskStatus.ACTIVE) {
            runs.remove(task);
            return;
        }
        RunId run = new RunId(task, progress.run());
        PlacedRun known = runs.get(task);
        if (known == null || !known.run().equals(run)) {
            runs.put(task, new PlacedRun(run, nowMs));
        }
    }

    /** Forgets the runs of a job that is final or was removed. */
    public synchronized void removeJob(JobId job) {
        mPlacedRuns.remove(job);
    }

    /** Returns for each run how long it has been known, up to a maximum age, in milliseconds. */
    public synchronized Map<RunId, Long> runAgesMs(long maximumAgeMs, long nowMs) {
        Map<RunId, Long> agesMs = new HashMap<>();
        for (Map<TaskKey, PlacedRun> runs : mPlacedRuns.values()) {
            for (PlacedRun placed : runs.values()) {
                long ageMs = nowMs - placed.firstReadAtMs();
                if (ageMs <= maximumAgeMs) {
                    agesMs.put(placed.run(), ageMs);
                }
            }
        }
        return agesMs;
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
