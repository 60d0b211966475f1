package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;

/**
 * Announces the epoch of the new owner of a placement shard; agents reject lower epochs from then
 * on.
 */
public record Fence(ShardNumber shard, Epoch epoch) implements Message {}
