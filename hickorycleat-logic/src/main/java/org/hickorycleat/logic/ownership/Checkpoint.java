package org.hickorycleat.logic.ownership;

/**
 * A saved state of a task.
 *
 * @param name name under which the worker stored it
 * @param progressMs run time covered by the checkpoint, in milliseconds
 * @param savedMs time at which it was reported, in Unix milliseconds
 */
public record Checkpoint(String name, long progressMs, long savedMs) {}
