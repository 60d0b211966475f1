package org.hickorycleat.logic.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hickorycleat.logic.batch.JobNaming;
import org.hickorycleat.logic.batch.RunTimeCorrection;
import org.hickorycleat.logic.interference.ColocationHistory;
import org.hickorycleat.logic.interference.InterferenceConstraint;
import org.hickorycleat.logic.interference.InterferenceMitigation;
import org.hickorycleat.logic.interference.InterferenceModel;
import org.hickorycleat.logic.interference.InterferenceSettings;
import org.hickorycleat.logic.interference.LatencyMeasurement;
import org.hickorycleat.logic.placement.DefaultPlacementPolicy;
import org.hickorycleat.logic.placement.IndexedPlacementView;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.logic.placement.PlacementView;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.quarantine.AttemptEnd;
import org.hickorycleat.logic.quarantine.QuarantineConstraint;
import org.hickorycleat.logic.quarantine.QuarantineSettings;
import org.hickorycleat.logic.quarantine.WorkerQuarantine;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.hickorycleat.model.task.TaskState;

/**
 * Scheduling policy of a shard with its run time, quarantine and interference estimates. The view
 * passed to each call must contain the effects of all earlier decisions that are still valid. Not
 * thread-safe.
 */
public final class SchedulingPolicy implements PlacementPolicy, PlacementObserver {
    private final JobNaming mNaming;
    private final RunTimeCorrection mCorrection;
    private final WorkerQuarantine mQuarantine;
    private final QuarantineConstraint mQuarantineConstraint;
    private final ColocationHistory mHistory = new ColocationHistory();
    private final InterferenceModel mModel = new InterferenceModel();
    private final InterferenceMitigation mResponse;
    private final DefaultPlacementPolicy mPlacement;

    /** Creates the policy with default limits. */
    public SchedulingPolicy(JobNaming naming) {
        mNaming = naming;
        mCorrection = new RunTimeCorrection(naming);
        mQuarantine = new WorkerQuarantine(QuarantineSettings.DEFAULT);
        mQuarantineConstraint = new QuarantineConstraint(mQuarantine);
        InterferenceConstraint interference = new InterferenceConstraint(mModel, naming);
        mResponse =
                new InterferenceMitigation(
                        mModel, naming, interference, InterferenceSettings.DEFAULT);
        mPlacement =
                DefaultPlacementPolicy.builder()
                        .estimator(mCorrection)
                        .constraint(new CombinedConstraint(mQuarantineConstraint, interference))
                        .build();
    }

    /** Returns the run time correction, for the snapshot of the shard. */
    public RunTimeCorrection runTimeCorrection() {
        return mCorrection;
    }

    /** Returns the quarantine, for metrics. */
    public WorkerQuarantine quarantine() {
        return mQuarantine;
    }

    /** Returns the interference model, for metrics. */
    public InterferenceModel interferenceModel() {
        return mModel;
    }

    @Override
    public List<PlacementDecision> decide(PlacementView view, long nowMs) {
        IndexedPlacementView indexed = IndexedPlacementView.of(view);
        mQuarantineConstraint.prepare(indexed, nowMs);
        List<PlacementDecision> decisions = new ArrayList<>(rejections(indexed));
        Set<TaskId> decided = new HashSet<>();
        decisions.forEach(decision -> decided.add(decision.task()));
        // Evictions for urgent work take precedence over interference mitigation on the same task.
        for (PlacementDecision decision : mPlacement.decide(indexed, nowMs)) {
            if (decided.add(decision.task())) {
                decisions.add(decision);
            }
        }
        for (PlacementDecision decision : mResponse.decide(indexed, nowMs)) {
            if (decided.add(decision.task())) {
                decisions.add(decision);
            }
        }
        return decisions;
    }

    private List<PlacementDecision> rejections(IndexedPlacementView view) {
        List<PlacementDecision> rejections = new ArrayList<>();
        for (TaskId task : mQuarantine.failingTasks()) {
            if (view.pending(task).isPresent()) {
                String reason =
                        "failed on " + mQuarantine.failedWorkers(task) + ", which run other work";
                rejections.add(new PlacementDecision.Reject(task, ResultCode.TASK_FAILED, reason));
            }
        }
        return rejections;
    }

    @Override
    public void onAttemptRunning(PlacedTask task, long nowMs) {
        TaskSpecification specification = task.specification();
        if (specification.service().isEmpty()) {
            mHistory.recordRunning(
                    task.worker(),
                    specification.task(),
                    mNaming.jobOf(specification),
                    task.throttlePermille() / 1_000.0,
                    nowMs);
        }
    }

    @Override
    public void onAttemptEnded(PlacedTask task, TaskState state, long nowMs) {
        TaskSpecification specification = task.specification();
        mHistory.recordEnd(task.worker(), specification.task(), nowMs);
        boolean succeeded = state == TaskState.SUCCEEDED;
        boolean failed = state == TaskState.FAILED || state == TaskState.REFUSED;
        if (succeeded && task.throttlePermille() == 1_000) {
            mCorrection.recordRun(specification, task.progressMs() + nowMs - task.startedMs());
        }
        if (succeeded || failed) {
            mQuarantine.recordAttemptEnd(
                    new AttemptEnd(
                            specification.task(),
                            mNaming.jobOf(specification),
                            task.worker(),
                            failed,
                            nowMs));
        }
    }

    @Override
    public void onTaskRemoved(TaskId task) {
        mQuarantine.clearHistory(task);
    }

    @Override
    public void onWorkerRestarted(WorkerId worker) {
        mQuarantine.clearHistory(worker);
    }

    @Override
    public void onUsageMeasured(TaskSpecification task, Resources used) {
        mCorrection.recordUsage(task, used);
    }

    @Override
    public void onLatencyMeasured(LatencyMeasurement measurement) {
        mModel.learn(
                measurement.service(),
                measurement.latencyMs(),
                mHistory.neighboursAt(measurement.worker(), measurement.measuredMs()));
    }
}
