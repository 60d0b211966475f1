package org.hickorycleat.measurements.placement;

import org.hickorycleat.model.task.TaskSpecification;

/**
 * A task of a workload.
 *
 * @param specification declared properties of the task
 * @param arrivalMs time of submission
 * @param runMs actual run time; {@code Long.MAX_VALUE} for services
 */
record WorkloadTask(TaskSpecification specification, long arrivalMs, long runMs) {}
