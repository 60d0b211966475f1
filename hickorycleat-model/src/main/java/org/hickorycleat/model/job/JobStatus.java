package org.hickorycleat.model.job;

/** State of a job as entries publish it to each other. */
public record JobStatus(JobId id, QueueName queue, JobState state, boolean scheduled) {}
