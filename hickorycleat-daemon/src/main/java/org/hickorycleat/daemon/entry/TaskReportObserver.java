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

/** Notifies the scheduling policy of a shard of what agents report. Not thread-safe. */
final class TaskReportObserver {
    private final PlacementObserver mObserver;
    private final InstantSource mClock;
    // Agents resend the end of an attempt until it is recorded; the policy must count it once.
    private final Map<TaskId, AttemptNumber> mReportedEnds = new HashMap<>();
    private final Map<WorkerId, Incarnation> mWorkerIncarnations = new HashMap<>();

    TaskReportObserver(PlacementObserver observer, InstantSource clock) {
        mObserver = observer;
        mClock = clock;
    }

    /** Handles a report on a task, given the explanation of the task before the report. */
    void onTaskReport(TaskReport report, TaskExplanation explanation) {
        if (explanation.result().isPresent()) {
            mReportedEnds.remove(report.task());
            mObserver.onTaskRemoved(report.task());
            return;
        }
        Optional<TaskRecord> record =
                explanation.record().filter(found -> found.isAt(report.attempt()));
        if (record.isEmpty()) {
            return;
        }
        AttemptRecord attempt = record.get().attempt().orElseThrow();
        PlacedTask placed = placedTask(record.get(), attempt);
        if (report.state() == TaskState.RUNNING) {
            mObserver.onAttemptRunning(placed, mClock.millis());
            mObserver.onUsageMeasured(
                    placed.specification(),
                    new Resources(
                            report.usedProcessorsMilli(),
                            report.usedMemoryMebibytes(),
                            placed.specification().resources().accelerators()));
        } else if (isEnd(report.state()) && recordIfFirstEnd(report)) {
            mObserver.onAttemptEnded(placed, report.state(), mClock.millis());
        }
    }

    /**
     * Handles the latencies of the local targets of an agent with a worker, and detects a restart
     * of that worker.
     */
    void onAgentReport(AgentReport report) {
        if (report.worker().isEmpty()) {
            return;
        }
        WorkerSummary worker = report.worker().get();
        Incarnation previous = mWorkerIncarnations.put(worker.worker(), worker.incarnation());
        if (previous != null && !previous.equals(worker.incarnation())) {
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

    private boolean recordIfFirstEnd(TaskReport report) {
        return !report.attempt().equals(mReportedEnds.put(report.task(), report.attempt()));
    }

    private static boolean isEnd(TaskState state) {
        return switch (state) {
            case STARTING, RUNNING, STOPPING -> false;
            case STOPPED, SUCCEEDED, FAILED, EXPIRED, REFUSED -> true;
        };
    }

    private static PlacedTask placedTask(TaskRecord record, AttemptRecord attempt) {
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
