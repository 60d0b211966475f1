package org.hickorycleat.measurements.placement;

import org.hickorycleat.model.task.TaskSpecification;

/**
 * A task that arrives.
 *
 * @param specification what is declared
 * @param arrivalMs time of arrival
 * @param runMs run time that it really has; {@code Long.MAX_VALUE} for services
 */
record WorkloadTask(TaskSpecification specification, long arrivalMs, long runMs) {}
