package org.hickorycleat.model.job;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.task.Resources;

/**
 * State that a worker announces in its heartbeats.
 *
 * @param labels kind of the worker, then its rack
 * @param draining whether the worker is draining
 * @param remainingMs minimum time until it shuts down, in milliseconds; only meaningful while
 *     draining
 * @param sequence increases with each description from the same incarnation
 * @param zone availability zone of the worker; empty if it names none
 * @param coldRemainingMs time for which the worker remains slow after its start, in milliseconds; 0
 *     if it is warm
 */
public record WorkerDescription(
        WorkerIncarnation incarnation,
        ServiceName service,
        Resources capacity,
        List<String> labels,
        boolean draining,
        long remainingMs,
        long sequence,
        Optional<ZoneId> zone,
        long coldRemainingMs) {
    private static final int RACK_LABEL = 1;

    /** Copies the list. */
    public WorkerDescription {
        labels = List.copyOf(labels);
    }

    /** Creates the description of a warm worker that names no availability zone. */
    public WorkerDescription(
            WorkerIncarnation incarnation,
            ServiceName service,
            Resources capacity,
            List<String> labels,
            boolean draining,
            long remainingMs,
            long sequence) {
        this(
                incarnation,
                service,
                capacity,
                labels,
                draining,
                remainingMs,
                sequence,
                Optional.empty(),
                0);
    }

    /** Returns the rack of the worker; empty if it announces none. */
    public Optional<String> rack() {
        return labels.size() > RACK_LABEL ? Optional.of(labels.get(RACK_LABEL)) : Optional.empty();
    }
}
