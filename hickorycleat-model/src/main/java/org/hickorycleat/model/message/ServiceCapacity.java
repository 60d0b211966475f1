package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.ServiceName;

/** Number of slots of a service that an entry observes as free. */
public record ServiceCapacity(ServiceName service, int freeSlots) {}
