package org.hickorycleat.model.store;

import java.util.Optional;

/**
 * Destination and conditions of an append.
 *
 * @param atOffset offset at which the partition must end for the append to be committed; empty for
 *     no condition
 * @param producer producer identity with which a retried append is committed only once; empty for
 *     none
 */
public record StoreAppendRequest(
        String topic, int partition, Optional<Long> atOffset, Optional<Producer> producer) {
    /** Returns a request for an append without conditions. */
    public static StoreAppendRequest unconditional(String topic, int partition) {
        return new StoreAppendRequest(topic, partition, Optional.empty(), Optional.empty());
    }
}
