package org.hickorycleat.logic.interference;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;

/**
 * Records which batch tasks ran on which worker, and how far they were throttled, over the last
 * minute. Latency measurements arrive late and must be attributed to the tasks that were running at
 * the time of the measurement. Not safe for use by several threads.
 */
public final class ColocationHistory {
    /** Twice the longest delay of a measurement. */
    private static final long RETENTION_MS = 60_000;

    private final Map<WorkerId, List<RunInterval>> mIntervals = new HashMap<>();

    /** An interval in which a task ran on a worker with a constant share. */
    private record RunInterval(TaskId task, JobName job, double share, long fromMs, long toMs) {
        boolean covers(long timeMs) {
            return fromMs <= timeMs && timeMs < toMs;
        }

        RunInterval endedAt(long endMs) {
            return new RunInterval(task, job, share, fromMs, endMs);
        }
    }

    /** Records that a task runs on a worker with a share of its processor time from now on. */
    public void recordRunning(WorkerId worker, TaskId task, JobName job, double share, long nowMs) {
        recordEnd(worker, task, nowMs);
        mIntervals
                .computeIfAbsent(worker, key -> new ArrayList<>())
                .add(new RunInterval(task, job, share, nowMs, Long.MAX_VALUE));
    }

    /** Records that a task no longer runs on a worker. */
    public void recordEnd(WorkerId worker, TaskId task, long nowMs) {
        List<RunInterval> intervals = mIntervals.get(worker);
        if (intervals == null) {
            return;
        }
        intervals.removeIf(interval -> interval.toMs < nowMs - RETENTION_MS);
        intervals.replaceAll(
                interval ->
                        interval.task.equals(task) && interval.toMs == Long.MAX_VALUE
                                ? interval.endedAt(nowMs)
                                : interval);
        if (intervals.isEmpty()) {
            mIntervals.remove(worker);
        }
    }

    /** Returns the batch jobs that ran on a worker at a time. */
    public List<Neighbour> neighboursAt(WorkerId worker, long timeMs) {
        List<Neighbour> neighbours = new ArrayList<>();
        for (RunInterval interval : mIntervals.getOrDefault(worker, List.of())) {
            if (interval.covers(timeMs)) {
                neighbours.add(new Neighbour(interval.job, interval.share));
            }
        }
        return neighbours;
    }
}
