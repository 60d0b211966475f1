package org.hickorycleat.model.job;

import org.hickorycleat.model.identifier.ServiceName;

/**
 * The workers of a service.
 *
 * @param enforcesCapacity whether its workers reject runs that exceed their capacity
 * @param standby whether its machines are switched off
 */
public record WorkerPool(ServiceName service, boolean enforcesCapacity, boolean standby) {}
