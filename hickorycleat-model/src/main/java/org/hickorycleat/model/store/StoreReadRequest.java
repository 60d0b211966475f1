package org.hickorycleat.model.store;

/**
 * A read from a partition of the store.
 *
 * @param newest whether to read the newest record of each key instead of the log
 * @param fromOffset first offset to read from the log
 * @param afterKey for the newest records, the key after which to continue; empty to read from the
 *     start
 * @param waitMs long-poll timeout: time that the store may wait for a record, in milliseconds
 */
public record StoreReadRequest(
        String topic, int partition, boolean newest, long fromOffset, String afterKey, int waitMs) {
    /** Returns a request that reads the log from an offset. */
    public static StoreReadRequest log(String topic, int partition, long fromOffset, int waitMs) {
        return new StoreReadRequest(topic, partition, false, fromOffset, "", waitMs);
    }

    /** Returns a request that reads the newest record of each key. */
    public static StoreReadRequest newest(String topic, int partition, String afterKey) {
        return new StoreReadRequest(topic, partition, true, 0, afterKey, 0);
    }
}
