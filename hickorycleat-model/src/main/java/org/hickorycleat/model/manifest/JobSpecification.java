package org.hickorycleat.model.manifest;

import java.time.Instant;
import java.util.Optional;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.task.Resources;

/**
 * A batch job of the manifest. Name and run together identify it, so a later manifest with the same
 * pair does not run it again.
 *
 * @param name name of the job
 * @param run label of this run, for example a date
 * @param team team whose quota the job uses
 * @param criticality criticality of the job
 * @param resources declared resources
 * @param estimatedSeconds declared run time in seconds
 * @param release earliest start
 * @param deadline time by which it must have finished
 * @param checkpointable whether the worker can checkpoint it
 * @param urgent whether it must start within 10 s, by eviction of other work if needed
 */
public record JobSpecification(
        JobName name,
        String run,
        TeamName team,
        Criticality criticality,
        Resources resources,
        long estimatedSeconds,
        Optional<Instant> release,
        Optional<Instant> deadline,
        boolean checkpointable,
        boolean urgent) {}
