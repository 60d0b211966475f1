package org.hickorycleat.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records the runs of all workers of a test, and reports tasks that run twice. */
final class RunHistory {
    private final Map<String, Integer> mActiveRuns = new HashMap<>();
    private final Set<String> mAcknowledgedTasks = new HashSet<>();
    private final Set<String> mStartedTasks = new HashSet<>();
    private final List<String> mViolations = new ArrayList<>();

    /** Records the start of a run, given as task and run number. */
    synchronized void onStart(String run) {
        String task = task(run);
        mStartedTasks.add(task);
        if (mActiveRuns.merge(task, 1, Integer::sum) > 1) {
            mViolations.add("concurrent runs of one task: " + run);
        }
        if (mAcknowledgedTasks.contains(task)) {
            mViolations.add("run started after the acknowledged end of its task: " + run);
        }
    }

    /** Records that a run is no longer on its worker. */
    synchronized void onEnd(String run) {
        mActiveRuns.merge(task(run), -1, Integer::sum);
    }

    /** Records the acknowledgement of an end, given in the format of the worker listing. */
    synchronized void onAcknowledged(String end) {
        if (end.contains("\"done\"")) {
            mAcknowledgedTasks.add(task(end.substring(end.indexOf('"'))));
        }
    }

    private static String task(String run) {
        return run.substring(1, run.indexOf('"', 1));
    }

    /** Returns whether a task of the given job was ever started. */
    synchronized boolean hasStarted(String job) {
        return mStartedTasks.stream().anyMatch(task -> task.startsWith(job + "."));
    }

    /** Returns the number of runs of a job that are on a worker. */
    synchronized int activeRuns(String job) {
        return mActiveRuns.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(job + "."))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    synchronized List<String> violations() {
        return new ArrayList<>(mViolations);
    }
}
