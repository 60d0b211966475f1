package org.hickorycleat.logic.membership;

import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;

/** Registration of one incarnation of an agent that serves an instance of a service. */
public record InstanceRegistration(
        ServiceName service, InstanceNumber instance, ProcessId agent, Incarnation incarnation) {}
