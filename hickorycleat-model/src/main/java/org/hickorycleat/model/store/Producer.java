package org.hickorycleat.model.store;

/**
 * Identity of a writer to a partition, used for fencing and deduplication.
 *
 * @param epoch producer epoch; the store fences epochs lower than one already seen
 * @param sequence number of the append within the epoch, from 0
 */
public record Producer(String name, long epoch, long sequence) {}
