package org.hickorycleat.logic.ownership;

import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;

/** Incarnation of an entry process that may own a shard. */
public record OwnerIdentity(ProcessId process, Incarnation incarnation) {}
