package org.hickorycleat.daemon.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hickorycleat.model.store.StoreRecord;

/**
 * Limits the size of records, as the store does, and how many are transmitted at once, so that a
 * slow link carries them in time.
 */
final class RecordBatch {
    /** Maximum size of an append of several records, in bytes. */
    static final int MAXIMUM_APPEND_BYTES = 128 << 10;

    /** Size that the encoding adds to the key and the value of a record, in bytes; rounded up. */
    private static final int RECORD_OVERHEAD_BYTES = 32;

    /** Maximum size of a key, whose length is encoded in one byte. */
    private static final int MAXIMUM_KEY_BYTES = 255;

    private static final int KEY_LENGTH_BYTES = 1;

    private RecordBatch() {}

    /** Returns whether the store accepts a record of its size. */
    static boolean isStorable(StoreRecord record, int maximumRecordBytes) {
        int keyBytes = record.key().getBytes(StandardCharsets.UTF_8).length;
        return keyBytes <= MAXIMUM_KEY_BYTES
                && KEY_LENGTH_BYTES + keyBytes + record.value().length <= maximumRecordBytes;
    }

    /**
     * Returns how many of the first records have at most the given total size; at least 1 unless
     * there are none.
     */
    static int prefixLength(List<StoreRecord> records, int maximumBytes) {
        long bytes = 0;
        for (int i = 0; i < records.size(); i++) {
            StoreRecord record = records.get(i);
            bytes += RECORD_OVERHEAD_BYTES + record.key().length() + record.value().length;
            if (bytes > maximumBytes && i > 0) {
                return i;
            }
        }
        return records.size();
    }
}
