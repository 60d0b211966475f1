package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.TaskTraits;

/** Sends an agent the traits of a run that it found on its worker after a restart of the agent. */
public record RunTraits(Epoch epoch, RunId run, TaskTraits traits) implements Message {}
