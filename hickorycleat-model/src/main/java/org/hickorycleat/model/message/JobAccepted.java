package org.hickorycleat.model.message;

import org.hickorycleat.model.job.JobSubmission;

/** A job that the sending entry has made durable. */
public record JobAccepted(JobSubmission submission) implements Message {}
