package org.hickorycleat.model.message;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;

/**
 * State of a worker and of everything on it.
 *
 * @param number rises with each report of an agent
 * @param epoch newest owner that the agent obeys
 * @param session session with that owner
 * @param description what the worker last told of itself
 * @param incarnation life that the lists belong to; empty until the worker has been listed
 * @param lastCommandNumber number of the last order of the session that the lists take into account
 * @param pending runs that are being ordered and appear in no list yet
 * @param leaseExpired whether everything on the worker has certainly ended with its lease
 * @param reachable whether the worker answers
 * @param bestEffortPercent share at which tasks that fill may work
 */
public record WorkerReport(
        long number,
        Epoch epoch,
        long session,
        Optional<WorkerDescription> description,
        Optional<WorkerIncarnation> incarnation,
        long lastCommandNumber,
        List<RunId> pending,
        List<RunSample> running,
        List<EndedRun> ended,
        boolean leaseExpired,
        boolean reachable,
        int bestEffortPercent)
        implements Message {
    /** Copies the lists. */
    public WorkerReport {
        pending = List.copyOf(pending);
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
