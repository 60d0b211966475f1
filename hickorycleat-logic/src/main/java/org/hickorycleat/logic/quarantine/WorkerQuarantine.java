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
 * Tells workers that fail everything from tasks that fail everywhere.
 *
 * <p>A worker is quarantined when, since its last success, it failed tasks of several jobs, or
 * several tasks of a job that succeeds elsewhere; its failures then no longer count against the
 * tasks. A task is at fault when it failed on several different workers that are not quarantined;
 * the failures of its job then no longer count against the workers. Not safe for use by several
 * threads.
 */
public final class WorkerQuarantine {
    /** Jobs whose last success is remembered; bounds the memory of an owner. */
    private static final int MAXIMUM_JOBS = 20_000;

    private final QuarantineSettings mSettings;
    private final Map<WorkerId, WorkerRecord> mWorkers = new HashMap<>();
    private final Map<TaskId, Set<WorkerId>> mFailedOn = new HashMap<>();
    private final Map<JobName, WorkerId> mLastSuccess = new LinkedHashMap<>();

    /** Creates an empty quarantine. */
    public WorkerQuarantine(QuarantineSettings settings) {
        mSettings = settings;
    }

    /** Failures of a worker since its last success, and its quarantine. */
    private static final class WorkerRecord {
        private final Map<TaskId, JobName> mFailedTasks = new HashMap<>();
        private boolean mQuarantined;
        private long mNextProbeMs;
        private long mProbeDelayMs;
        private int mSuccesses;
        private Optional<TaskId> mProbe = Optional.empty();
    }

    /** Learns from the end of an attempt. */
    public void recordAttemptEnd(AttemptEnd end) {
        if (end.failed()) {
            failed(end);
        } else {
            succeeded(end);
        }
    }

    /** Records that a task was started on a worker; in quarantine it is the probe. */
    public void started(TaskId task, WorkerId worker) {
        WorkerRecord record = mWorkers.get(worker);
        if (record != null && record.mQuarantined) {
            record.mProbe = Optional.of(task);
        }
    }

    /** Forgets a task that ended for good or was cancelled. */
    public void clearHistory(TaskId task) {
        mFailedOn.remove(task);
    }

    /** Forgets a worker that was replaced or came back with a new incarnation. */
    public void clearHistory(WorkerId worker) {
        mWorkers.remove(worker);
    }

    /** Tells whether a worker is quarantined. */
    public boolean quarantined(WorkerId worker) {
        WorkerRecord record = mWorkers.get(worker);
        return record != null && record.mQuarantined;
    }

    /** Tells whether a quarantined worker may be given a probe now. */
    public boolean probeDue(WorkerId worker, long nowMs) {
        WorkerRecord record = mWorkers.get(worker);
        return record != null
                && record.mQuarantined
                && record.mProbe.isEmpty()
                && nowMs >= record.mNextProbeMs;
    }

    /** Tells that a probe was withdrawn: evicted, cancelled or never started. */
    public void probeWithdrawn(WorkerId worker) {
        WorkerRecord record = mWorkers.get(worker);
        if (record != null) {
            record.mProbe = Optional.empty();
        }
    }

    /** Returns the task that probes a quarantined worker. */
    public Optional<TaskId> probe(WorkerId worker) {
        WorkerRecord record = mWorkers.get(worker);
        return record == null ? Optional.empty() : record.mProbe;
    }

    /** Returns the quarantined workers. */
    public List<WorkerId> quarantined() {
        return mWorkers.entrySet().stream()
                .filter(entry -> entry.getValue().mQuarantined)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the tasks that failed on too many different healthy workers. */
    public List<TaskId> failingTasks() {
        return mFailedOn.keySet().stream().filter(this::taskAtFault).toList();
    }

    /** Tells whether a task failed on the worker and should be tried elsewhere. */
    public boolean failedOn(TaskId task, WorkerId worker) {
        return failedWorkers(task).contains(worker);
    }

    /** Returns the healthy workers on which a task failed. */
    public Set<WorkerId> failedWorkers(TaskId task) {
        return Set.copyOf(mFailedOn.getOrDefault(task, Set.of()));
    }

    /** Tells whether a task failed on so many different healthy workers that it is at fault. */
    public boolean taskAtFault(TaskId task) {
        return mFailedOn.getOrDefault(task, Set.of()).size() >= mSettings.failuresOfTask();
    }

    private void failed(AttemptEnd end) {
        WorkerRecord record = mWorkers.computeIfAbsent(end.worker(), key -> new WorkerRecord());
        if (record.mQuarantined) {
            probeFailed(record, end);
            return;
        }
        mFailedOn.computeIfAbsent(end.task(), key -> new HashSet<>()).add(end.worker());
        if (taskAtFault(end.task())) {
            acquit(end);
            return;
        }
        record.mFailedTasks.put(end.task(), end.job());
        if (failsEverything(end.worker(), record)) {
            quarantine(end.worker(), record, end.endedMs());
        }
    }

    private boolean failsEverything(WorkerId worker, WorkerRecord record) {
        Collection<JobName> failed = record.mFailedTasks.values();
        if (failed.size() < mSettings.failuresOfWorker()) {
            return false;
        }
        if (new HashSet<>(failed).size() >= mSettings.failuresOfWorker()) {
            return true;
        }
        return failed.stream().filter(job -> succeededElsewhere(job, worker)).count()
                >= mSettings.failuresOfWorker();
    }

    private boolean succeededElsewhere(JobName job, WorkerId worker) {
        WorkerId last = mLastSuccess.get(job);
        return last != null && !last.equals(worker);
    }

    /** The task is at fault, so failures of its job say nothing about the workers. */
    private void acquit(AttemptEnd end) {
        mLastSuccess.remove(end.job());
        for (WorkerRecord record : mWorkers.values()) {
            record.mFailedTasks.values().removeIf(end.job()::equals);
        }
    }

    private void quarantine(WorkerId worker, WorkerRecord record, long nowMs) {
        record.mQuarantined = true;
        record.mSuccesses = 0;
        record.mProbe = Optional.empty();
        record.mProbeDelayMs = mSettings.firstProbeMs();
        record.mNextProbeMs = nowMs + record.mProbeDelayMs;
        for (TaskId task : record.mFailedTasks.keySet()) {
            Set<WorkerId> workers = mFailedOn.get(task);
            if (workers != null && workers.remove(worker) && workers.isEmpty()) {
                mFailedOn.remove(task);
            }
        }
        record.mFailedTasks.clear();
    }

    private void probeFailed(WorkerRecord record, AttemptEnd end) {
        if (!record.mProbe.equals(Optional.of(end.task()))) {
            return;
        }
        record.mProbe = Optional.empty();
        record.mSuccesses = 0;
        record.mProbeDelayMs = Math.min(mSettings.longestProbeMs(), record.mProbeDelayMs * 2);
        record.mNextProbeMs = end.endedMs() + record.mProbeDelayMs;
    }

    private void rememberSuccess(AttemptEnd end) {
        mLastSuccess.put(end.job(), end.worker());
        if (mLastSuccess.size() > MAXIMUM_JOBS) {
            mLastSuccess.remove(mLastSuccess.keySet().iterator().next());
        }
    }

    private void succeeded(AttemptEnd end) {
        mFailedOn.remove(end.task());
        rememberSuccess(end);
        WorkerRecord record = mWorkers.get(end.worker());
        if (record == null) {
            return;
        }
        if (!record.mQuarantined) {
            mWorkers.remove(end.worker());
            return;
        }
        if (!record.mProbe.equals(Optional.of(end.task()))) {
            return;
        }
        record.mProbe = Optional.empty();
        record.mNextProbeMs = end.endedMs();
        record.mSuccesses++;
        if (record.mSuccesses >= mSettings.successesToLeave()) {
            mWorkers.remove(end.worker());
        }
    }
}
