package org.hickorycleat.model.job;

import java.util.List;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.task.Resources;

/**
 * What a worker tells of itself.
 *
 * @param draining whether it leaves soon
 * @param remainingMs least time until it leaves, in milliseconds; meaningful when it drains
 * @param sequence rises with each description of one life
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
