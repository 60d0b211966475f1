package org.hickorycleat.logic.lease;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;

/** Owner of a shard as the worker has confirmed it. */
record OwnerLink(Epoch epoch, ProcessId owner, boolean connected) {}
