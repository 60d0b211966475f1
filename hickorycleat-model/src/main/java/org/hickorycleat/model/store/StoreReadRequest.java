package org.hickorycleat.model.store;

/**
 * What a read asks for.
 *
 * @param newest whether the newest record of each key is read instead of the log
 * @param fromOffset first offset of the log
 * @param afterKey for the newest records, the key after which to go on; empty for the start
 * @param waitMs how long the store may wait for a record, in milliseconds
 */
public record StoreReadRequest(
        String topic, int partition, boolean newest, long fromOffset, String afterKey, int waitMs) {
    /** Reads the log from an offset. */
    public static StoreReadRequest log(String topic, int partition, long fromOffset, int waitMs) {
        return new StoreReadRequest(topic, partition, false, fromOffset, "", waitMs);
    }

    /** Reads the newest record of each key. */
    public static StoreReadRequest newest(String topic, int partition, String afterKey) {
        return new StoreReadRequest(topic, partition, true, 0, afterKey, 0);
    }
}
