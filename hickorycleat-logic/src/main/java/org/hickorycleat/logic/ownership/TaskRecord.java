package org.hickorycleat.logic.ownership;

import java.util.Optional;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.task.TaskSpecification;

/**
 * An accepted task that has not ended.
 *
 * @param specification the task
 * @param submittedMs time of acceptance, in Unix milliseconds
 * @param lastAttempt number of the last attempt, 0 before the first
 * @param attempt the attempt that holds resources; empty while the task is pending
 * @param checkpoint latest checkpoint
 * @param evictions number of evictions
 * @param failures number of failures
 */
public record TaskRecord(
        TaskSpecification specification,
        long submittedMs,
        long lastAttempt,
        Optional<AttemptRecord> attempt,
        Optional<Checkpoint> checkpoint,
        int evictions,
        int failures) {
    /** Returns the identity of the task. */
    public TaskId task() {
        return specification.task();
    }

    /** Returns the run time covered by the checkpoint, in milliseconds. */
    public long progressMs() {
        return checkpoint.map(Checkpoint::progressMs).orElse(0L);
    }

    /** Returns the number of the next attempt. */
    public AttemptNumber nextAttempt() {
        return new AttemptNumber(lastAttempt + 1);
    }

    /** Returns whether the given attempt is the current one. */
    public boolean isAt(AttemptNumber number) {
        return attempt.map(current -> current.number().equals(number)).orElse(false);
    }

    TaskRecord withAttempt(AttemptRecord next) {
        return new TaskRecord(
                specification,
                submittedMs,
                next.number().value(),
                Optional.of(next),
                checkpoint,
                evictions,
                failures);
    }

    TaskRecord withCheckpoint(Checkpoint saved) {
        return new TaskRecord(
                specification,
                submittedMs,
                lastAttempt,
                attempt,
                Optional.of(saved),
                evictions,
                failures);
    }

    TaskRecord pending(int addedEvictions, int addedFailures) {
        return new TaskRecord(
                specification,
                submittedMs,
                lastAttempt,
                Optional.empty(),
                checkpoint,
                evictions + addedEvictions,
                failures + addedFailures);
    }
}
