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

/** Tasks of a shard; changes only by decisions, so equal logs give equal states. */
public final class ShardState {
    private final Map<TaskId, TaskRecord> mTasks = new LinkedHashMap<>();
    private final Map<TaskId, TaskResult> mEnded = new LinkedHashMap<>();
    private final Map<ServiceTask.ServiceInstance, Long> mGenerations = new HashMap<>();
    private ConfigurationVersion mManifestVersion = new ConfigurationVersion(-1);

    ShardState() {}

    ShardState(ShardSnapshot image) {
        image.tasks().forEach(task -> mTasks.put(task.task(), task));
        image.ended().forEach(ended -> mEnded.put(ended.task(), ended.result()));
        image.generations()
                .forEach(latest -> mGenerations.put(latest.instance(), latest.generation()));
        mManifestVersion = image.manifestVersion();
    }

    /** Returns the tasks that have not ended, in order of acceptance. */
    public Collection<TaskRecord> tasks() {
        return Collections.unmodifiableCollection(mTasks.values());
    }

    /** Finds a task that has not ended. */
    public Optional<TaskRecord> task(TaskId task) {
        return Optional.ofNullable(mTasks.get(task));
    }

    /** Finds the ending of a task. */
    public Optional<TaskResult> taskResult(TaskId task) {
        return Optional.ofNullable(mEnded.get(task));
    }

    /** Returns the manifest that the decisions are based on. */
    public ConfigurationVersion manifestVersion() {
        return mManifestVersion;
    }

    /** Returns the generation of the latest run of a service instance, 0 for none. */
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

    /** Applies a decision; returns false and changes nothing if the state does not allow it. */
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
            return change(
                    stop.task(),
                    task -> task.isAt(stop.attempt()),
                    task -> task.withAttempt(task.attempt().get().stopping(stop.cause())));
        }
        if (decision instanceof ShardDecision.Throttle throttle) {
            return change(
                    throttle.task(),
                    task -> task.isAt(throttle.attempt()),
                    task -> task.withAttempt(task.attempt().get().throttled(throttle.permille())));
        }
        if (decision instanceof ShardDecision.SaveCheckpoint save) {
            return change(
                    save.task(),
                    task -> task.isAt(save.attempt()),
                    task -> task.withCheckpoint(save.checkpoint()));
        }
        if (decision instanceof ShardDecision.EndAttempt end) {
            return endAttempt(end);
        }
        if (decision instanceof ShardDecision.RemoveTombstone forget) {
            return mEnded.remove(forget.task()) != null;
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
        if (mTasks.containsKey(task) || mEnded.containsKey(task) || isOldRun(submit)) {
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
                .map(service -> ServiceTask.of(task, service))
                .ifPresent(run -> mGenerations.merge(run.instance(), run.generation(), Math::max));
        return true;
    }

    private boolean start(ShardDecision.Start start) {
        return change(
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
            finish(
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
        finish(end.task(), end.ending());
        return true;
    }

    private boolean isOldRun(ShardDecision.Submit submit) {
        TaskId task = submit.specification().task();
        return submit.specification()
                .service()
                .map(service -> ServiceTask.of(task, service))
                .map(run -> run.generation() <= latestGeneration(run.instance()))
                .orElse(false);
    }

    /** Runs of service instances are not kept: their generations never repeat. */
    private void finish(TaskId task, TaskResult ending) {
        TaskRecord removed = mTasks.remove(task);
        if (removed != null && removed.specification().service().isEmpty()) {
            mEnded.put(task, ending);
        }
    }

    private boolean change(
            TaskId id, Predicate<TaskRecord> allowed, UnaryOperator<TaskRecord> next) {
        TaskRecord task = mTasks.get(id);
        if (task == null || !allowed.test(task)) {
            return false;
        }
        mTasks.put(id, next.apply(task));
        return true;
    }
}
