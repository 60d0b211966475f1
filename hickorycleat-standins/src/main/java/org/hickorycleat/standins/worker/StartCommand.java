package org.hickorycleat.standins.worker;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.task.Resources;

/** Body of a start. */
public record StartCommand(
        AttemptKey key,
        Epoch epoch,
        Incarnation incarnation,
        Resources resources,
        long leaseUntilMs,
        long runMs,
        Optional<String> checkpoint) {}
