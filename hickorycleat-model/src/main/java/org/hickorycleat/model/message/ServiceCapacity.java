package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.ServiceName;

/** Slots of a service that an entry sees as free. */
public record ServiceCapacity(ServiceName service, int freeSlots) {}
