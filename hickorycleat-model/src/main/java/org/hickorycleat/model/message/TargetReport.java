package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;

/** State of a target as observed by its agent. */
public record TargetReport(
        ServiceName service,
        InstanceNumber instance,
        TargetState state,
        int slots,
        int connections,
        LoadSignal load) {}
