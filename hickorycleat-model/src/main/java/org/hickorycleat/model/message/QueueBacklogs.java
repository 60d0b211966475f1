package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.QueueBacklog;

/**
 * Backlogs of all queues that have one, from which entries decide which jobs to reject.
 *
 * @param epoch epoch of the owner that sends them
 */
public record QueueBacklogs(Epoch epoch, List<QueueBacklog> queues) implements Message {
    /** Copies the list. */
    public QueueBacklogs {
        queues = List.copyOf(queues);
    }
}
