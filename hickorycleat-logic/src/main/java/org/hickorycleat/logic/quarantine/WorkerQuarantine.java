package org.hickorycleat.logic.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;

/**
 * Distinguishes workers on which all tasks fail from tasks that fail on all workers.
 *
 * <p>A worker is quarantined when, since its last success, tasks of several jobs failed on it, or
 * several tasks of a job that succeeds on another worker; these failures then no longer count
 * against the tasks. A task is failing when it failed on several different workers that are not
 * quarantined; the failures of its job then no longer count against the workers. Not safe for use
 * by several threads.
 */
public final class WorkerQuarantine {
    /** Number of jobs whose last success is recorded; bounds the memory of an owner. */
    private static final int MAXIMUM_JOBS = 20_000;

    private final QuarantineSettings mSettings;
    private final Map<WorkerId, WorkerRecord> mWorkers = new HashMap<>();
    private final Map<TaskId, Set<WorkerId>> mFailedWorkers = new HashMap<>();
    private final Map<JobName, WorkerId> mLastSuccessfulWorker = new LinkedHashMap<>();

    /** Creates an empty quarantine. */
    public WorkerQuarantine(QuarantineSettings settings) {
        mSettings = settings;
    }

    /** Failures of a worker since its last success, and the state of its quarantine. */
    private static final class WorkerRecord {
        private final Map<TaskId, JobName> mFailedTasks = new HashMap<>();
        private boolean mQuarantined;
        private long mNextProbeMs;
        private long mProbeDelayMs;
        private int mProbeSuccesses;
        private Optional<TaskId> mProbeTask = Optional.empty();
    }

    /** Records the result of an attempt. */
    public void recordAttemptEnd(AttemptEnd end) {
        if (end.failed()) {
            onFailure(end);
        } else {
            onSuccess(end);
        }
    }

    /** Records that a task was started on a worker; on a quarantined one it is the probe task. */
    public void recordStart(TaskId task, WorkerId worker) {
        WorkerRecord record = mWorkers.get(worker);
        if (record != null && record.mQuarantined) {
            record.mProbeTask = Optional.of(task);
        }
    }

    /** Removes the failures of a task that ended permanently or was cancelled. */
    public void clearHistory(TaskId task) {
        mFailedWorkers.remove(task);
    }

    /** Removes the record of a worker that was replaced or has a new incarnation. */
    public void clearHistory(WorkerId worker) {
        mWorkers.remove(worker);
    }

    /** Returns whether a worker is quarantined. */
    public boolean isQuarantined(WorkerId worker) {
        WorkerRecord record = mWorkers.get(worker);
        return record != null && record.mQuarantined;
    }

    /** Returns whether a probe task may be started on a quarantined worker now. */
    public boolean isProbeDue(WorkerId worker, long nowMs) {
        WorkerRecord record = mWorkers.get(worker);
        return record != null
                && record.mQuarantined
                && record.mProbeTask.isEmpty()
                && nowMs >= record.mNextProbeMs;
    }

    /** Clears a probe task that was evicted, cancelled or never started. */
    public void clearProbe(WorkerId worker) {
        WorkerRecord record = mWorkers.get(worker);
        if (record != null) {
            record.mProbeTask = Optional.empty();
        }
    }

    /** Returns the probe task of a quarantined worker. */
    public Optional<TaskId> probeTask(WorkerId worker) {
        WorkerRecord record = mWorkers.get(worker);
        return record == null ? Optional.empty() : record.mProbeTask;
    }

    /** Returns the quarantined workers. */
    public List<WorkerId> quarantinedWorkers() {
        return mWorkers.entrySet().stream()
                .filter(entry -> entry.getValue().mQuarantined)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the tasks that failed on as many different healthy workers as the limit. */
    public List<TaskId> failingTasks() {
        return mFailedWorkers.keySet().stream().filter(this::isFailingTask).toList();
    }

    /** Returns whether a task failed on the worker and should be started on another one. */
    public boolean hasFailedOn(TaskId task, WorkerId worker) {
        return failedWorkers(task).contains(worker);
    }

    /** Returns the workers on which a task failed, without those quarantined since. */
    public Set<WorkerId> failedWorkers(TaskId task) {
        return Set.copyOf(mFailedWorkers.getOrDefault(task, Set.of()));
    }

    /** Returns whether a task reached the limit of different healthy workers that it failed on. */
    public boolean isFailingTask(TaskId task) {
        return mFailedWorkers.getOrDefault(task, Set.of()).size() >= mSettings.taskFailureLimit();
    }

    private void onFailure(AttemptEnd end) {
        WorkerRecord record = mWorkers.computeIfAbsent(end.worker(), key -> new WorkerRecord());
        if (record.mQuarantined) {
            onProbeFailed(record, end);
            return;
        }
        mFailedWorkers.computeIfAbsent(end.task(), key -> new HashSet<>()).add(end.worker());
        if (isFailingTask(end.task())) {
            removeFailuresOfJob(end);
            return;
        }
        record.mFailedTasks.put(end.task(), end.job());
        if (shouldQuarantine(end.worker(), record)) {
            startQuarantine(end.worker(), record, end.endedMs());
        }
    }

    private boolean shouldQuarantine(WorkerId worker, WorkerRecord record) {
        Collection<JobName> failed = record.mFailedTasks.values();
        if (failed.size() < mSettings.workerFailureLimit()) {
            return false;
        }
        if (new HashSet<>(failed).size() >= mSettings.workerFailureLimit()) {
            return true;
        }
        return failed.stream().filter(job -> hasSucceededElsewhere(job, worker)).count()
                >= mSettings.workerFailureLimit();
    }

    private boolean hasSucceededElsewhere(JobName job, WorkerId worker) {
        WorkerId last = mLastSuccessfulWorker.get(job);
        return last != null && !last.equals(worker);
    }

    /** Removes failures of a job with a failing task, since they are not caused by the workers. */
    private void removeFailuresOfJob(AttemptEnd end) {
        mLastSuccessfulWorker.remove(end.job());
        for (WorkerRecord record : mWorkers.values()) {
            record.mFailedTasks.values().removeIf(end.job()::equals);
        }
    }

    private void startQuarantine(WorkerId worker, WorkerRecord record, long nowMs) {
        record.mQuarantined = true;
        record.mProbeSuccesses = 0;
        record.mProbeTask = Optional.empty();
        record.mProbeDelayMs = mSettings.initialProbeDelayMs();
        record.mNextProbeMs = nowMs + record.mProbeDelayMs;
        for (TaskId task : record.mFailedTasks.keySet()) {
            Set<WorkerId> workers = mFailedWorkers.get(task);
            if (workers != null && workers.remove(worker) && workers.isEmpty()) {
                mFailedWorkers.remove(task);
            }
        }
        record.mFailedTasks.clear();
    }

    private void onProbeFailed(WorkerRecord record, AttemptEnd end) {
        if (!record.mProbeTask.equals(Optional.of(end.task()))) {
            return;
        }
        record.mProbeTask = Optional.empty();
        record.mProbeSuccesses = 0;
        record.mProbeDelayMs = Math.min(mSettings.maximumProbeDelayMs(), record.mProbeDelayMs * 2);
        record.mNextProbeMs = end.endedMs() + record.mProbeDelayMs;
    }

    private void recordSuccess(AttemptEnd end) {
        mLastSuccessfulWorker.put(end.job(), end.worker());
        if (mLastSuccessfulWorker.size() > MAXIMUM_JOBS) {
            mLastSuccessfulWorker.remove(mLastSuccessfulWorker.keySet().iterator().next());
        }
    }

    private void onSuccess(AttemptEnd end) {
        mFailedWorkers.remove(end.task());
        recordSuccess(end);
        WorkerRecord record = mWorkers.get(end.worker());
        if (record == null) {
            return;
        }
        if (!record.mQuarantined) {
            mWorkers.remove(end.worker());
            return;
        }
        if (!record.mProbeTask.equals(Optional.of(end.task()))) {
            return;
        }
        record.mProbeTask = Optional.empty();
        record.mNextProbeMs = end.endedMs();
        record.mProbeSuccesses++;
        if (record.mProbeSuccesses >= mSettings.successesToRelease()) {
            mWorkers.remove(end.worker());
        }
    }
}
