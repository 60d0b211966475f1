package org.hickorycleat.model.message;

import org.hickorycleat.model.job.JobSubmission;

/** Notifies entries of a job that the sender has accepted and made durable. */
public record JobAccepted(JobSubmission submission) implements Message {}
