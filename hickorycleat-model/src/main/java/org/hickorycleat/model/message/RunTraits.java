package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.TaskTraits;

/** Traits of a run that an agent found on its worker after a restart. */
public record RunTraits(Epoch epoch, RunId run, TaskTraits traits) implements Message {}
