package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.job.JobStatus;

/** Publishes durable job states from an entry to its peers. */
public record JobStates(List<JobStatus> jobs) implements Message {
    /** Copies the list. */
    public JobStates {
        jobs = List.copyOf(jobs);
    }
}
