package org.hickorycleat.logic.ownership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.identifier.TaskId;

/** Oracle that observes every run on every worker and records violations of the invariants. */
final class RunRecorder {
    private final Map<String, String> mRunning = new LinkedHashMap<>();
    private final Map<String, Integer> mRuns = new LinkedHashMap<>();
    private final Map<TaskId, Long> mSavedMs = new LinkedHashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private int mResumedRuns;

    void recordStart(TaskId task, long attempt, String worker, long progressMs, long nowMs) {
        String text = task + " attempt " + attempt + " on " + worker + " at " + nowMs;
        if (mRunning.containsKey(task.value())) {
            mViolations.add("two runs at once: " + text + " and " + mRunning.get(task.value()));
        }
        if (mRuns.merge(task + "/" + attempt, 1, Integer::sum) > 1) {
            mViolations.add("attempt ran twice: " + text);
        }
        if (progressMs > mSavedMs.getOrDefault(task, 0L)) {
            mViolations.add("resumed from a checkpoint that was never saved: " + text);
        }
        if (progressMs > 0) {
            mResumedRuns++;
        }
        mRunning.put(task.value(), text);
    }

    void recordEnd(TaskId task) {
        mRunning.remove(task.value());
    }

    void recordCheckpoint(TaskId task, long progressMs) {
        mSavedMs.merge(task, progressMs, Math::max);
    }

    void recordViolation(String text) {
        mViolations.add(text);
    }

    boolean isRunning(TaskId task) {
        return mRunning.containsKey(task.value());
    }

    long runningInstances() {
        return mRunning.keySet().stream().filter(task -> task.startsWith("service/")).count();
    }

    int resumedRuns() {
        return mResumedRuns;
    }

    List<String> violations() {
        return mViolations;
    }
}
