package org.hickorycleat.logic.interference;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;

/**
 * Which batch tasks were on which worker, and how far they were throttled, over the last minute or
 * so. Measurements arrive late and must be credited to the tasks of their time. Not safe for use by
 * several threads.
 */
public final class ColocationHistory {
    /** Twice the longest delay of a measurement. */
    private static final long KEPT_MS = 60_000;

    private final Map<WorkerId, List<Stay>> mStays = new HashMap<>();

    /** A time during which a task ran on a worker with one share. */
    private record Stay(TaskId task, JobName job, double share, long fromMs, long toMs) {
        boolean covers(long timeMs) {
            return fromMs <= timeMs && timeMs < toMs;
        }

        Stay endedAt(long endMs) {
            return new Stay(task, job, share, fromMs, endMs);
        }
    }

    /** Records that a task runs on a worker with a share of its processor time from now on. */
    public void recordRunning(WorkerId worker, TaskId task, JobName job, double share, long nowMs) {
        recordEnd(worker, task, nowMs);
        mStays.computeIfAbsent(worker, key -> new ArrayList<>())
                .add(new Stay(task, job, share, nowMs, Long.MAX_VALUE));
    }

    /** Records that a task no longer runs on a worker. */
    public void recordEnd(WorkerId worker, TaskId task, long nowMs) {
        List<Stay> stays = mStays.get(worker);
        if (stays == null) {
            return;
        }
        stays.removeIf(stay -> stay.toMs < nowMs - KEPT_MS);
        stays.replaceAll(
                stay ->
                        stay.task.equals(task) && stay.toMs == Long.MAX_VALUE
                                ? stay.endedAt(nowMs)
                                : stay);
        if (stays.isEmpty()) {
            mStays.remove(worker);
        }
    }

    /** Returns the batch work on a worker at a time. */
    public List<Neighbour> neighboursAt(WorkerId worker, long timeMs) {
        List<Neighbour> neighbours = new ArrayList<>();
        for (Stay stay : mStays.getOrDefault(worker, List.of())) {
            if (stay.covers(timeMs)) {
                neighbours.add(new Neighbour(stay.job, stay.share));
            }
        }
        return neighbours;
    }
}
