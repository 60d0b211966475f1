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

/** Accepts, cancels and replaces tasks until the shard holds what the manifest asks for. */
final class ManifestReconciler {
    private final ShardState mState;
    private final ShardManifest mManifest;
    private final AttemptTracker mTracker;
    private final Predicate<WorkerId> mUnreachable;
    private final long mEndedRetentionMs;
    private final Set<TaskId> mWanted = new HashSet<>();
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
     * Returns the decisions due. A manifest older than the one that recorded decisions are based on
     * gives none: it would cancel jobs that a newer manifest has added.
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
            want(identity(job), () -> job(job), wallMs);
        }
        for (ServiceDemand demand : mManifest.services()) {
            for (int instance = 0; instance < demand.service().instances(); instance++) {
                wantInstance(demand, new InstanceNumber(instance), wallMs);
            }
        }
        mState.tasks().forEach(task -> cancelUnwanted(task, wallMs));
        mState.endedBefore(wallMs - mEndedRetentionMs)
                .filter(task -> !mWanted.contains(task))
                .forEach(task -> mDecisions.add(new ShardDecision.RemoveTombstone(task)));
        return mDecisions;
    }

    /** Returns the identity of a job. */
    static TaskId identity(JobSpecification job) {
        return new TaskId(job.name() + "#" + job.run());
    }

    private void want(TaskId task, Supplier<TaskSpecification> specification, long wallMs) {
        mWanted.add(task);
        if (mState.task(task).isEmpty() && mState.taskResult(task).isEmpty()) {
            mDecisions.add(new ShardDecision.Submit(specification.get(), wallMs));
        }
    }

    private void wantInstance(ServiceDemand demand, InstanceNumber number, long wallMs) {
        ServiceTask.ServiceInstance instance =
                new ServiceTask.ServiceInstance(demand.service().name(), number);
        long generation = mState.latestGeneration(instance);
        Optional<TaskRecord> current =
                mState.task(new ServiceTask(instance, generation).task())
                        .filter(task -> !hasEnded(task));
        if (current.isEmpty() || isLost(current.get())) {
            ServiceTask next = new ServiceTask(instance, generation + 1);
            want(next.task(), () -> instance(demand, next), wallMs);
            current.ifPresent(task -> mWanted.add(task.task()));
            return;
        }
        mWanted.add(current.get().task());
        if (!isConfirmed(current.get())) {
            mState.tasks().stream()
                    .filter(task -> isOlderRun(task, instance))
                    .forEach(task -> mWanted.add(task.task()));
        }
    }

    private static boolean hasEnded(TaskRecord task) {
        return task.attempt().isEmpty() && task.lastAttempt() > 0;
    }

    private static boolean isOlderRun(TaskRecord task, ServiceTask.ServiceInstance instance) {
        return task.attempt().isPresent()
                && task.specification().service().equals(Optional.of(instance.service()))
                && ServiceTask.of(task.task(), instance.service()).instance().equals(instance);
    }

    private boolean isLost(TaskRecord task) {
        return task.attempt().map(attempt -> mUnreachable.test(attempt.worker())).orElse(false);
    }

    private boolean isConfirmed(TaskRecord task) {
        return task.attempt()
                .map(attempt -> mTracker.observation(task.task(), attempt.number()).confirmed())
                .orElse(false);
    }

    private void cancelUnwanted(TaskRecord task, long wallMs) {
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
        if (mWanted.contains(task.task())) {
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

    private static TaskSpecification job(JobSpecification job) {
        return new TaskSpecification(
                identity(job),
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

    private static TaskSpecification instance(ServiceDemand demand, ServiceTask task) {
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
