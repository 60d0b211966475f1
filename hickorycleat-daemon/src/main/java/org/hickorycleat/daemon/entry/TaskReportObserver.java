package org.hickorycleat.daemon.entry;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.logic.interference.LatencyMeasurement;
import org.hickorycleat.logic.ownership.AttemptRecord;
import org.hickorycleat.logic.ownership.TaskExplanation;
import org.hickorycleat.logic.ownership.TaskRecord;
import org.hickorycleat.logic.placement.PlacementView.Phase;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.scheduling.PlacementObserver;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.TargetReport;
import org.hickorycleat.model.message.TaskReport;
import org.hickorycleat.model.message.WorkerSummary;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskState;

/** Tells the policy of a shard what agents report; used by one thread at a time. */
final class TaskReportObserver {
    private final PlacementObserver mObserver;
    private final InstantSource mClock;
    // Agents repeat the report of an end until it is recorded; the policy must count it once.
    private final Map<TaskId, AttemptNumber> mEnded = new HashMap<>();
    private final Map<WorkerId, Incarnation> mWorkers = new HashMap<>();

    TaskReportObserver(PlacementObserver observer, InstantSource clock) {
        mObserver = observer;
        mClock = clock;
    }

    /** Takes a report on a task, with what was known of the task before. */
    void onTaskReport(TaskReport report, TaskExplanation before) {
        if (before.result().isPresent()) {
            mEnded.remove(report.task());
            mObserver.onTaskRemoved(report.task());
            return;
        }
        Optional<TaskRecord> record = before.record().filter(known -> known.isAt(report.attempt()));
        if (record.isEmpty()) {
            return;
        }
        AttemptRecord attempt = record.get().attempt().orElseThrow();
        PlacedTask placed = placed(record.get(), attempt);
        if (report.state() == TaskState.RUNNING) {
            mObserver.onAttemptRunning(placed, mClock.millis());
            mObserver.onUsageMeasured(
                    placed.specification(),
                    new Resources(
                            report.usedProcessorsMilli(),
                            report.usedMemoryMebibytes(),
                            placed.specification().resources().accelerators()));
        } else if (isEnd(report.state()) && isNew(report)) {
            mObserver.onAttemptEnded(placed, report.state(), mClock.millis());
        }
    }

    /** Takes the latencies of the targets beside a worker, and notes a restart of the worker. */
    void onAgentReport(AgentReport report) {
        if (report.worker().isEmpty()) {
            return;
        }
        WorkerSummary worker = report.worker().get();
        Incarnation known = mWorkers.put(worker.worker(), worker.incarnation());
        if (known != null && !known.equals(worker.incarnation())) {
            mObserver.onWorkerRestarted(worker.worker());
        }
        for (TargetReport target : report.targets()) {
            if (target.load().latencyMicros() > 0) {
                mObserver.onLatencyMeasured(
                        new LatencyMeasurement(
                                target.service(),
                                worker.worker(),
                                mClock.millis(),
                                target.load().latencyMicros() / 1_000.0));
            }
        }
    }

    private boolean isNew(TaskReport report) {
        return !report.attempt().equals(mEnded.put(report.task(), report.attempt()));
    }

    private static boolean isEnd(TaskState state) {
        return switch (state) {
            case STARTING, RUNNING, STOPPING -> false;
            case STOPPED, SUCCEEDED, FAILED, EXPIRED, REFUSED -> true;
        };
    }

    private static PlacedTask placed(TaskRecord record, AttemptRecord attempt) {
        return new PlacedTask(
                record.specification(),
                attempt.worker(),
                attempt.startedMs(),
                attempt.startedMs(),
                record.progressMs(),
                record.evictions(),
                attempt.stop().isPresent() ? Phase.STOPPING : Phase.RUNNING,
                attempt.throttlePermille());
    }
}
