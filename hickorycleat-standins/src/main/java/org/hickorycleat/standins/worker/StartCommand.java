package org.hickorycleat.standins.worker;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.task.Resources;

/** Command to start an attempt; {@code runMs} of 0 marks a task that runs until it is stopped. */
public record StartCommand(
        AttemptKey key,
        Epoch epoch,
        Incarnation incarnation,
        Resources resources,
        long leaseUntilMs,
        long runMs,
        Optional<String> checkpoint) {}
