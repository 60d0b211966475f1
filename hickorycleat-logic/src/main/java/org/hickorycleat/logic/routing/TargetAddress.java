package org.hickorycleat.logic.routing;

import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;

/** Address of a target: its local agent, service and instance. */
public record TargetAddress(ProcessId agent, ServiceName service, InstanceNumber instance) {}
