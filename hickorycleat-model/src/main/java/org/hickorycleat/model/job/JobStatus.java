package org.hickorycleat.model.job;

/** State of a job that entries tell each other. */
public record JobStatus(JobId id, QueueName queue, JobState state, boolean scheduled) {}
