package org.hickorycleat.logic.ownership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.manifest.JobSpecification;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.TaskSpecification;

/** Accepts, cancels and replaces tasks to reconcile the shard with its manifest. */
final class ManifestReconciler {
    private final ShardState mState;
    private final ShardManifest mManifest;
    private final AttemptTracker mTracker;
    private final Predicate<WorkerId> mUnreachable;
    private final long mEndedRetentionMs;
    private final Set<TaskId> mRequired = new HashSet<>();
    private final List<ShardDecision> mDecisions = new ArrayList<>();

    ManifestReconciler(
            ShardState state,
            ShardManifest manifest,
            AttemptTracker tracker,
            Predicate<WorkerId> unreachable,
            long endedRetentionMs) {
        mState = state;
        mManifest = manifest;
        mTracker = tracker;
        mUnreachable = unreachable;
        mEndedRetentionMs = endedRetentionMs;
    }

    /**
     * Returns the decisions that are due. A manifest older than the one that recorded decisions are
     * based on yields none, because it would cancel jobs that a newer manifest has added.
     */
    List<ShardDecision> decisions(long wallMs) {
        int order = mManifest.version().compareTo(mState.manifestVersion());
        if (order < 0) {
            return List.of();
        }
        if (order > 0) {
            mDecisions.add(new ShardDecision.AdoptManifest(mManifest.version()));
        }
        for (JobSpecification job : mManifest.jobs()) {
            require(taskId(job), () -> jobTask(job), wallMs);
        }
        for (ServiceDemand demand : mManifest.services()) {
            for (int instance = 0; instance < demand.service().instances(); instance++) {
                requireInstance(demand, new InstanceNumber(instance), wallMs);
            }
        }
        mState.tasks().forEach(task -> endUnlessRequired(task, wallMs));
        mState.endedBefore(wallMs - mEndedRetentionMs)
                .filter(task -> !mRequired.contains(task))
                .forEach(task -> mDecisions.add(new ShardDecision.RemoveTombstone(task)));
        return mDecisions;
    }

    /** Returns the identity of the task of a job. */
    static TaskId taskId(JobSpecification job) {
        return new TaskId(job.name() + "#" + job.run());
    }

    private void require(TaskId task, Supplier<TaskSpecification> specification, long wallMs) {
        mRequired.add(task);
        if (mState.task(task).isEmpty() && mState.taskResult(task).isEmpty()) {
            mDecisions.add(new ShardDecision.Submit(specification.get(), wallMs));
        }
    }

    private void requireInstance(ServiceDemand demand, InstanceNumber number, long wallMs) {
        ServiceTask.ServiceInstance instance =
                new ServiceTask.ServiceInstance(demand.service().name(), number);
        long generation = mState.latestGeneration(instance);
        Optional<TaskRecord> current =
                mState.task(new ServiceTask(instance, generation).task())
                        .filter(task -> !hasEnded(task));
        if (current.isEmpty() || isOnUnreachableWorker(current.get())) {
            ServiceTask next = new ServiceTask(instance, generation + 1);
            require(next.task(), () -> instanceTask(demand, next), wallMs);
            current.ifPresent(task -> mRequired.add(task.task()));
            return;
        }
        mRequired.add(current.get().task());
        if (!isConfirmed(current.get())) {
            mState.tasks().stream()
                    .filter(task -> isRunningGeneration(task, instance))
                    .forEach(task -> mRequired.add(task.task()));
        }
    }

    private static boolean hasEnded(TaskRecord task) {
        return task.attempt().isEmpty() && task.lastAttempt() > 0;
    }

    private static boolean isRunningGeneration(
            TaskRecord task, ServiceTask.ServiceInstance instance) {
        return task.attempt().isPresent()
                && task.specification().service().equals(Optional.of(instance.service()))
                && ServiceTask.parse(task.task(), instance.service()).instance().equals(instance);
    }

    private boolean isOnUnreachableWorker(TaskRecord task) {
        return task.attempt().map(attempt -> mUnreachable.test(attempt.worker())).orElse(false);
    }

    private boolean isConfirmed(TaskRecord task) {
        return task.attempt()
                .map(attempt -> mTracker.observation(task.task(), attempt.number()).confirmed())
                .orElse(false);
    }

    private void endUnlessRequired(TaskRecord task, long wallMs) {
        boolean ended = task.specification().service().isPresent() && hasEnded(task);
        if (ended) {
            mDecisions.add(
                    ShardDecision.end(
                            task.task(),
                            TaskResult.Outcome.REPLACED,
                            ResultCode.OK,
                            "the run of the instance ended",
                            wallMs));
            return;
        }
        if (mRequired.contains(task.task())) {
            return;
        }
        if (task.attempt().isEmpty()) {
            mDecisions.add(
                    ShardDecision.end(
                            task.task(),
                            TaskResult.Outcome.CANCELLED,
                            ResultCode.CANCELLED,
                            "not in manifest " + mManifest.version(),
                            wallMs));
            return;
        }
        AttemptRecord attempt = task.attempt().get();
        if (!attempt.stop().equals(Optional.of(StopCause.CANCELLED))) {
            mDecisions.add(
                    new ShardDecision.Stop(
                            task.task(),
                            attempt.number(),
                            StopCause.CANCELLED,
                            "not in manifest " + mManifest.version()));
        }
    }

    private static TaskSpecification jobTask(JobSpecification job) {
        return new TaskSpecification(
                taskId(job),
                job.team(),
                Optional.empty(),
                job.criticality(),
                job.resources(),
                job.estimatedSeconds() * 1_000,
                job.release().map(Instant::toEpochMilli).orElse(0L),
                job.deadline().map(Instant::toEpochMilli).orElse(Long.MAX_VALUE),
                job.checkpointable(),
                job.urgent());
    }

    private static TaskSpecification instanceTask(ServiceDemand demand, ServiceTask task) {
        return new TaskSpecification(
                task.task(),
                demand.service().team(),
                Optional.of(demand.service().name()),
                demand.service().criticality(),
                demand.resources(),
                0,
                0,
                Long.MAX_VALUE,
                false,
                false);
    }
}
