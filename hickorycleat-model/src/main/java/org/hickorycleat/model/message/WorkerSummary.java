package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/** State of the local worker of an agent, with the task attempts that it holds. */
public record WorkerSummary(
        WorkerId worker,
        Incarnation incarnation,
        RackId rack,
        Resources capacity,
        List<TaskAttempt> tasks) {
    /** Copies the collections. */
    public WorkerSummary {
        tasks = List.copyOf(tasks);
    }
}
