package org.hickorycleat.logic.ownership;

import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;

/** One run of an entry that may own a shard. */
public record OwnerIdentity(ProcessId process, Incarnation incarnation) {}
