package org.hickorycleat.daemon.fleet;

import java.util.List;
import org.hickorycleat.model.store.StoreRecord;

/** Limits how many records are transmitted at once, so that a slow link carries them in time. */
final class RecordBatch {
    /** Maximum size of an append of several records, in bytes. */
    static final int MAXIMUM_APPEND_BYTES = 128 << 10;

    /** Size that the encoding adds to the key and the value of a record, in bytes; rounded up. */
    private static final int RECORD_OVERHEAD_BYTES = 32;

    private RecordBatch() {}

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
