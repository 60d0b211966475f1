package org.hickorycleat.model.job;

import java.util.List;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.task.Resources;

/**
 * State that a worker announces in its heartbeats.
 *
 * @param draining whether the worker is draining
 * @param remainingMs minimum time until it shuts down, in milliseconds; only meaningful while
 *     draining
 * @param sequence increases with each description from the same incarnation
 */
public record WorkerDescription(
        WorkerIncarnation incarnation,
        ServiceName service,
        Resources capacity,
        List<String> labels,
        boolean draining,
        long remainingMs,
        long sequence) {
    /** Copies the list. */
    public WorkerDescription {
        labels = List.copyOf(labels);
    }
}
