package org.hickorycleat.standins.worker;

import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/**
 * Options of the stand-in.
 *
 * @param worker name
 * @param rack rack
 * @param capacity all its resources
 * @param runTimePermille real run time of tasks as a share of the declared one
 * @param usageLagMs age of usage measurements
 */
public record WorkerOptions(
        WorkerId worker, RackId rack, Resources capacity, long runTimePermille, long usageLagMs) {}
