package org.hickorycleat.logic.admission;

import org.hickorycleat.model.identifier.ServiceName;

/** Tells what the targets of a service can take. */
@FunctionalInterface
public interface CapacitySource {
    /** Returns the capacity that this entry sees. */
    ServiceSlots slots(ServiceName service);
}
