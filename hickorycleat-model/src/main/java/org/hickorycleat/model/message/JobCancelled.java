package org.hickorycleat.model.message;

import org.hickorycleat.model.job.JobId;

/** A cancellation that the sending entry has made durable. */
public record JobCancelled(JobId job) implements Message {}
