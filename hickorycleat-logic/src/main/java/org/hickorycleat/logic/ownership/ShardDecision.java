package org.hickorycleat.logic.ownership;

import java.util.Optional;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.TaskSpecification;
import org.hickorycleat.model.task.TaskState;

/** A decision or an observed fact about a shard; times are in Unix milliseconds. */
public sealed interface ShardDecision {
    /** Sets the manifest that the following decisions are based on. */
    record AdoptManifest(ConfigurationVersion version) implements ShardDecision {}

    /** Accepts a task. */
    record Submit(TaskSpecification specification, long submittedMs) implements ShardDecision {}

    /** Starts the next attempt; allowed only while the task has no attempt. */
    record Start(
            TaskId task,
            AttemptNumber attempt,
            WorkerId worker,
            Incarnation workerIncarnation,
            long startedMs)
            implements ShardDecision {}

    /** Stops the attempt on its worker. */
    record Stop(TaskId task, AttemptNumber attempt, StopCause cause, String reason)
            implements ShardDecision {}

    /** Limits the processor time of the attempt. */
    record Throttle(TaskId task, AttemptNumber attempt, int permille) implements ShardDecision {}

    /** Records a checkpoint of the attempt. */
    record SaveCheckpoint(TaskId task, AttemptNumber attempt, Checkpoint checkpoint)
            implements ShardDecision {}

    /** Records the proven end of the attempt; the task is pending again unless it succeeded. */
    record EndAttempt(
            TaskId task,
            AttemptNumber attempt,
            TaskState state,
            Optional<Checkpoint> checkpoint,
            long endedMs)
            implements ShardDecision {}

    /** Ends a task that has no attempt. */
    record EndTask(TaskId task, TaskResult result) implements ShardDecision {}

    /** Removes the tombstone of an ended task. */
    record RemoveTombstone(TaskId task) implements ShardDecision {}

    /** Returns the decision that ends a task without success. */
    static EndTask end(
            TaskId task, TaskResult.Outcome outcome, ResultCode code, String reason, long nowMs) {
        return new EndTask(task, new TaskResult(outcome, code, reason, nowMs));
    }
}
