package org.hickorycleat.logic.admission;

import org.hickorycleat.model.identifier.ServiceName;

/** Provides the capacity of the targets of a service. */
@FunctionalInterface
public interface CapacitySource {
    /** Returns the capacity of a service as this entry sees it. */
    ServiceCapacity capacity(ServiceName service);
}
