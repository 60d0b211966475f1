package org.hickorycleat.model.message;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;

/**
 * State of a worker and of the runs on it.
 *
 * @param number report number; increases with each report of an agent
 * @param epoch epoch of the newest owner whose commands the agent accepts
 * @param session number of the session with that owner
 * @param description newest description that the worker announced
 * @param incarnation worker incarnation of the lists; empty until the runs of the worker have been
 *     listed
 * @param lastCommandNumber number of the last command of the session that the lists reflect
 * @param pending runs whose start command is in flight and that are in no list yet
 * @param completeness whether a run in none of the lists has certainly ended
 * @param leaseExpired whether all runs but the pending ones have certainly ended because the lease
 *     expired
 * @param leaseRemainingMs longest time for which runs may continue on the worker without a further
 *     extension of the lease, in milliseconds; does not apply to the pending ones
 * @param pendingLeaseRemainingMs the same for the pending runs, in milliseconds; a worker that has
 *     restarted may hold them for as long as it grants leases
 * @param reachable whether the worker responds
 * @param bestEffortPercent lowest share at which a best-effort image may run, in percent
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
        ListCompleteness completeness,
        boolean leaseExpired,
        long leaseRemainingMs,
        long pendingLeaseRemainingMs,
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
