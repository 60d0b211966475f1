package org.hickorycleat.logic.port;

import java.util.List;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.RunSample;

/**
 * Running and ended runs listed by a worker.
 *
 * @param fenced whether the worker has seen a higher fencing token; the lists are empty then
 * @param startedAtMs start of the responding incarnation of the worker, in Unix milliseconds
 * @param clockMs clock of the worker at the time of the response, in milliseconds
 * @param completeness whether the worker has further ends that are not listed
 */
public record RunListing(
        boolean fenced,
        long startedAtMs,
        long clockMs,
        List<RunSample> running,
        List<EndedRun> ended,
        ListCompleteness completeness) {
    /** Copies the lists. */
    public RunListing {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /** Returns the response to a fencing token that is too low. */
    public static RunListing rejectedAsFenced() {
        return new RunListing(true, 0, 0, List.of(), List.of(), ListCompleteness.PARTIAL);
    }
}
