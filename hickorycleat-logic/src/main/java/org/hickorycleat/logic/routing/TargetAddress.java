package org.hickorycleat.logic.routing;

import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;

/** A target and the agent beside it. */
public record TargetAddress(ProcessId agent, ServiceName service, InstanceNumber instance) {}
