package org.hickorycleat.model.task;

import java.util.Optional;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;

/**
 * A task to place.
 *
 * @param task identifier of the task
 * @param team team whose quota the task uses
 * @param service service whose instance the task runs; empty for batch work
 * @param criticality criticality of the task
 * @param resources declared resources
 * @param estimatedMs declared run time in milliseconds; 0 for services
 * @param releaseMs earliest start in milliseconds since the epoch of the clock
 * @param deadlineMs deadline for its completion, on the same clock; {@code Long.MAX_VALUE} for none
 * @param checkpointable whether the worker can checkpoint the task
 * @param urgent whether the task must start within 10 s
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
