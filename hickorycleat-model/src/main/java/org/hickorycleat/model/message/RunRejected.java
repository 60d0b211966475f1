package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.RejectionReason;
import org.hickorycleat.model.job.RunId;

/** Reports that a run was rejected: it was not started and never will be. */
public record RunRejected(Epoch epoch, RunId run, RejectionReason reason) implements Message {}
