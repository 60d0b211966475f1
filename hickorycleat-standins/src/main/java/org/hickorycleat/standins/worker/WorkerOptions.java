package org.hickorycleat.standins.worker;

import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/**
 * Options of the worker stand-in.
 *
 * @param worker identifier of the worker
 * @param rack rack of the worker
 * @param capacity resources of the worker
 * @param runTimePermille actual run time of tasks in thousandths of the declared one
 * @param usageLagMs minimum age of reported usage samples, in milliseconds
 */
public record WorkerOptions(
        WorkerId worker, RackId rack, Resources capacity, long runTimePermille, long usageLagMs) {}
