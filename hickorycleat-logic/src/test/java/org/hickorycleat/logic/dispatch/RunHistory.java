package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.TaskKey;

/** Records what simulated workers run and which rules that breaks. */
final class RunHistory {
    private final Map<RunId, String> mRunning = new HashMap<>();
    private final Map<TaskKey, String> mDone = new HashMap<>();
    private final Map<TaskKey, Set<Integer>> mFailedRuns = new HashMap<>();
    private final List<String> mViolations = new ArrayList<>();

    List<String> violations() {
        return mViolations;
    }

    /** Returns the tasks that run on any worker. */
    Set<TaskKey> runningTasks() {
        Set<TaskKey> tasks = new HashSet<>();
        mRunning.keySet().forEach(run -> tasks.add(run.task()));
        return tasks;
    }

    int failedRuns(TaskKey task) {
        return mFailedRuns.getOrDefault(task, Set.of()).size();
    }

    void onStarted(String worker, RunId run, long nowMs) {
        for (Map.Entry<RunId, String> other : mRunning.entrySet()) {
            if (other.getKey().task().equals(run.task())) {
                mViolations.add(
                        nowMs
                                + " "
                                + run
                                + " on "
                                + worker
                                + " beside "
                                + other.getKey()
                                + " on "
                                + other.getValue());
            }
        }
        if (mDone.containsKey(run.task())) {
            mViolations.add(nowMs + " " + run + " on " + worker + " after its task was done");
        }
        mRunning.put(run, worker);
    }

    void onEnded(String worker, RunId run, EndCause cause, boolean finite) {
        mRunning.remove(run);
        if (cause == EndCause.DONE && finite) {
            mDone.put(run.task(), worker);
        }
        if (cause == EndCause.FAILED) {
            mFailedRuns.computeIfAbsent(run.task(), key -> new HashSet<>()).add(run.number());
        }
    }

    /** Handles a crash: the runs of a worker are lost, and so are ends that nobody has noted. */
    void onCrashed(String worker, Set<TaskKey> unacknowledged) {
        mRunning.values().removeIf(worker::equals);
        onLeaseExpired(worker, unacknowledged);
    }

    /** Handles the expiry of a lease: ends that nobody has noted before do not count. */
    void onLeaseExpired(String worker, Set<TaskKey> unacknowledged) {
        mDone.entrySet()
                .removeIf(
                        done ->
                                done.getValue().equals(worker)
                                        && unacknowledged.contains(done.getKey()));
    }
}
