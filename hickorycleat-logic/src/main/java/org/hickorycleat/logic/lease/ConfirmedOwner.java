package org.hickorycleat.logic.lease;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;

/** Owner of a shard whose fence the worker has confirmed. */
record ConfirmedOwner(Epoch epoch, ProcessId owner, boolean connected) {}
