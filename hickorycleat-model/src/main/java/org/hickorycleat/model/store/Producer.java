package org.hickorycleat.model.store;

/**
 * Identity of a writer to a partition.
 *
 * @param epoch a lower epoch than one already seen is fenced
 * @param sequence number of the append within the epoch, from 0
 */
public record Producer(String name, long epoch, long sequence) {}
