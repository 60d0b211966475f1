package org.hickorycleat.standins.worker;

import java.util.Optional;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskState;

/**
 * State of an attempt as reported in responses.
 *
 * @param checkpointedProgressMs run time covered by the last checkpoint, in milliseconds
 */
public record AttemptStatus(
        AttemptKey key,
        TaskState state,
        Resources resources,
        int throttlePermille,
        Optional<String> checkpoint,
        long checkpointedProgressMs) {}
