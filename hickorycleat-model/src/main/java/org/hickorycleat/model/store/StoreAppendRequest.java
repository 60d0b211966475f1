package org.hickorycleat.model.store;

import java.util.Optional;

/**
 * Where and under which conditions records are appended.
 *
 * @param atOffset offset at which the partition has to end
 * @param producer identity that makes a repeated append take effect once
 */
public record StoreAppendRequest(
        String topic, int partition, Optional<Long> atOffset, Optional<Producer> producer) {
    /** Appends without a condition. */
    public static StoreAppendRequest unconditional(String topic, int partition) {
        return new StoreAppendRequest(topic, partition, Optional.empty(), Optional.empty());
    }
}
