package org.hickorycleat.logic.ownership;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.TaskState;

/** Tasks of a shard. They change only through decisions, so equal logs give equal states. */
public final class ShardState {
    private final Map<TaskId, TaskRecord> mTasks = new LinkedHashMap<>();
    private final Map<TaskId, TaskResult> mEnded = new LinkedHashMap<>();
    private final Map<ServiceTask.ServiceInstance, Long> mGenerations = new HashMap<>();
    private ConfigurationVersion mManifestVersion = new ConfigurationVersion(-1);

    ShardState() {}

    ShardState(ShardSnapshot snapshot) {
        snapshot.tasks().forEach(task -> mTasks.put(task.task(), task));
        snapshot.ended().forEach(ended -> mEnded.put(ended.task(), ended.result()));
        snapshot.generations()
                .forEach(latest -> mGenerations.put(latest.instance(), latest.generation()));
        mManifestVersion = snapshot.manifestVersion();
    }

    /** Returns the tasks that have not ended, in order of acceptance. */
    public Collection<TaskRecord> tasks() {
        return Collections.unmodifiableCollection(mTasks.values());
    }

    /** Returns a task that has not ended. */
    public Optional<TaskRecord> task(TaskId task) {
        return Optional.ofNullable(mTasks.get(task));
    }

    /** Returns the result of an ended batch task. */
    public Optional<TaskResult> taskResult(TaskId task) {
        return Optional.ofNullable(mEnded.get(task));
    }

    /** Returns the version of the manifest that the decisions are based on. */
    public ConfigurationVersion manifestVersion() {
        return mManifestVersion;
    }

    /** Returns the latest generation of a service instance, 0 for none. */
    long latestGeneration(ServiceTask.ServiceInstance instance) {
        return mGenerations.getOrDefault(instance, 0L);
    }

    List<ServiceTask> generations() {
        return mGenerations.entrySet().stream()
                .map(entry -> new ServiceTask(entry.getKey(), entry.getValue()))
                .toList();
    }

    int endedCount() {
        return mEnded.size();
    }

    /** Returns batch tasks that ended before a time, in order of their end. */
    Stream<TaskId> endedBefore(long wallMs) {
        return mEnded.entrySet().stream()
                .takeWhile(entry -> entry.getValue().endedMs() < wallMs)
                .map(Map.Entry::getKey);
    }

    List<TaskTombstone> ended() {
        return mEnded.entrySet().stream()
                .map(entry -> new TaskTombstone(entry.getKey(), entry.getValue()))
                .toList();
    }

    /**
     * Applies a decision; returns false and changes nothing if the decision does not apply to the
     * state.
     */
    boolean apply(ShardDecision decision) {
        if (decision instanceof ShardDecision.AdoptManifest adopt) {
            return adoptManifest(adopt.version());
        }
        if (decision instanceof ShardDecision.Submit submit) {
            return submit(submit);
        }
        if (decision instanceof ShardDecision.Start start) {
            return start(start);
        }
        if (decision instanceof ShardDecision.Stop stop) {
            return update(
                    stop.task(),
                    task -> task.isAt(stop.attempt()),
                    task -> task.withAttempt(task.attempt().get().withStop(stop.cause())));
        }
        if (decision instanceof ShardDecision.Throttle throttle) {
            return update(
                    throttle.task(),
                    task -> task.isAt(throttle.attempt()),
                    task ->
                            task.withAttempt(
                                    task.attempt().get().withThrottle(throttle.permille())));
        }
        if (decision instanceof ShardDecision.SaveCheckpoint save) {
            return update(
                    save.task(),
                    task -> task.isAt(save.attempt()),
                    task -> task.withCheckpoint(save.checkpoint()));
        }
        if (decision instanceof ShardDecision.EndAttempt end) {
            return endAttempt(end);
        }
        if (decision instanceof ShardDecision.RemoveTombstone removal) {
            return mEnded.remove(removal.task()) != null;
        }
        return endTask((ShardDecision.EndTask) decision);
    }

    private boolean adoptManifest(ConfigurationVersion version) {
        if (version.compareTo(mManifestVersion) <= 0) {
            return false;
        }
        mManifestVersion = version;
        return true;
    }

    private boolean submit(ShardDecision.Submit submit) {
        TaskId task = submit.specification().task();
        if (mTasks.containsKey(task) || mEnded.containsKey(task) || isStaleGeneration(submit)) {
            return false;
        }
        mTasks.put(
                task,
                new TaskRecord(
                        submit.specification(),
                        submit.submittedMs(),
                        0,
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        0));
        submit.specification()
                .service()
                .map(service -> ServiceTask.parse(task, service))
                .ifPresent(
                        started ->
                                mGenerations.merge(
                                        started.instance(), started.generation(), Math::max));
        return true;
    }

    private boolean start(ShardDecision.Start start) {
        return update(
                start.task(),
                task -> task.attempt().isEmpty() && task.nextAttempt().equals(start.attempt()),
                task ->
                        task.withAttempt(
                                new AttemptRecord(
                                        start.attempt(),
                                        start.worker(),
                                        start.workerIncarnation(),
                                        start.startedMs(),
                                        1000,
                                        Optional.empty())));
    }

    private boolean endAttempt(ShardDecision.EndAttempt end) {
        TaskRecord task = mTasks.get(end.task());
        if (task == null || !task.isAt(end.attempt())) {
            return false;
        }
        if (end.state() == TaskState.SUCCEEDED) {
            endAndRemove(
                    end.task(),
                    new TaskResult(TaskResult.Outcome.SUCCEEDED, ResultCode.OK, "", end.endedMs()));
            return true;
        }
        TaskRecord saved = end.checkpoint().map(task::withCheckpoint).orElse(task);
        boolean evicted =
                end.state() != TaskState.FAILED
                        && task.attempt().get().stop().equals(Optional.of(StopCause.EVICTED));
        mTasks.put(
                end.task(),
                saved.pending(evicted ? 1 : 0, end.state() == TaskState.FAILED ? 1 : 0));
        return true;
    }

    private boolean endTask(ShardDecision.EndTask end) {
        TaskRecord task = mTasks.get(end.task());
        if (task == null || task.attempt().isPresent()) {
            return false;
        }
        endAndRemove(end.task(), end.result());
        return true;
    }

    private boolean isStaleGeneration(ShardDecision.Submit submit) {
        TaskId task = submit.specification().task();
        return submit.specification()
                .service()
                .map(service -> ServiceTask.parse(task, service))
                .map(started -> started.generation() <= latestGeneration(started.instance()))
                .orElse(false);
    }

    /**
     * Removes an ended task. Service instances need no tombstone, because their generations are
     * never reused.
     */
    private void endAndRemove(TaskId task, TaskResult result) {
        TaskRecord removed = mTasks.remove(task);
        if (removed != null && removed.specification().service().isEmpty()) {
            mEnded.put(task, result);
        }
    }

    private boolean update(
            TaskId id, Predicate<TaskRecord> allowed, UnaryOperator<TaskRecord> next) {
        TaskRecord task = mTasks.get(id);
        if (task == null || !allowed.test(task)) {
            return false;
        }
        mTasks.put(id, next.apply(task));
        return true;
    }
}
