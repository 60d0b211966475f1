package org.hickorycleat.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What all workers of a test saw, checked against the promise that no task runs twice. */
final class RunHistory {
    private final Map<String, Integer> mActive = new HashMap<>();
    private final Set<String> mDone = new HashSet<>();
    private final Set<String> mStarted = new HashSet<>();
    private final List<String> mViolations = new ArrayList<>();

    /** A worker started a run, given as task and number. */
    synchronized void onStart(String run) {
        String task = task(run);
        mStarted.add(task);
        if (mActive.merge(task, 1, Integer::sum) > 1) {
            mViolations.add("two runs at once: " + run);
        }
        if (mDone.contains(task)) {
            mViolations.add("started after its end was acknowledged: " + run);
        }
    }

    /** A run is no longer on its worker. */
    synchronized void onGone(String run) {
        mActive.merge(task(run), -1, Integer::sum);
    }

    /** An end was acknowledged, given as the worker lists it. */
    synchronized void onAcknowledged(String end) {
        if (end.contains("\"done\"")) {
            mDone.add(task(end.substring(end.indexOf('"'))));
        }
    }

    private static String task(String run) {
        return run.substring(1, run.indexOf('"', 1));
    }

    /** Tells whether a task of a job was ever started. */
    synchronized boolean hasStarted(String job) {
        return mStarted.stream().anyMatch(task -> task.startsWith(job + "."));
    }

    synchronized List<String> violations() {
        return new ArrayList<>(mViolations);
    }
}
