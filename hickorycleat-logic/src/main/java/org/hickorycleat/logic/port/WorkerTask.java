package org.hickorycleat.logic.port;

import java.util.Optional;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.task.TaskState;

/**
 * The last attempt of a task at a worker.
 *
 * @param shard shard of the task
 * @param task the task
 * @param attempt the attempt
 * @param state its state; an ended attempt is listed for 24 h
 * @param checkpoint latest checkpoint of this attempt
 * @param progressMs run time covered by the checkpoint, in milliseconds
 */
public record WorkerTask(
        ShardNumber shard,
        TaskId task,
        AttemptNumber attempt,
        TaskState state,
        Optional<String> checkpoint,
        long progressMs) {
    /** Returns whether the attempt still holds resources of the worker. */
    public boolean isActive() {
        return state == TaskState.STARTING
                || state == TaskState.RUNNING
                || state == TaskState.STOPPING;
    }
}
