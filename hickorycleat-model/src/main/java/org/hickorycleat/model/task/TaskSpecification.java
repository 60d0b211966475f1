package org.hickorycleat.model.task;

import java.util.Optional;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;

/**
 * A task to place.
 *
 * @param task identity
 * @param team team whose quota it uses
 * @param service service that it is an instance of; empty for batch work
 * @param criticality criticality
 * @param resources declared resources
 * @param estimatedMs declared run time in milliseconds; 0 for services
 * @param releaseMs earliest start in milliseconds since the epoch of the clock
 * @param deadlineMs time by which it must have finished; {@code Long.MAX_VALUE} for none
 * @param checkpointable whether the worker can checkpoint it
 * @param urgent whether it must start within 10 s
 */
public record TaskSpecification(
        TaskId task,
        TeamName team,
        Optional<ServiceName> service,
        Criticality criticality,
        Resources resources,
        long estimatedMs,
        long releaseMs,
        long deadlineMs,
        boolean checkpointable,
        boolean urgent) {}
