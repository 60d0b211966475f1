package org.hickorycleat.model.message;

import org.hickorycleat.model.job.JobId;

/** Notifies entries of a job cancellation that the sender has made durable. */
public record JobCancelled(JobId job) implements Message {}
