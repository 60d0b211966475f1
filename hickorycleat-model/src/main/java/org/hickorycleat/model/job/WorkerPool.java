package org.hickorycleat.model.job;

import org.hickorycleat.model.identifier.ServiceName;

/**
 * The workers of a service.
 *
 * @param enforcesCapacity whether its workers reject what does not fit
 * @param standby whether its machines are off
 */
public record WorkerPool(ServiceName service, boolean enforcesCapacity, boolean standby) {}
