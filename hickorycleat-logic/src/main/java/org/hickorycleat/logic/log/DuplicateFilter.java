package org.hickorycleat.logic.log;

import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RecordId;

/**
 * Detects duplicates of records.
 *
 * <p>A writer appends one record at a time, so each first copy has a higher incarnation or sequence
 * than all before it. A record of an older incarnation is a late duplicate or comes from a process
 * that has been replaced; either is discarded. Not thread-safe.
 */
public final class DuplicateFilter {
    private final Map<ProcessId, RecordId> mLatestIds = new HashMap<>();

    /** Returns whether a record is the first copy, and records its identity. */
    public boolean acceptIfFirst(RecordId id) {
        RecordId latest = mLatestIds.get(id.writer());
        if (latest != null && !isAfter(id, latest)) {
            return false;
        }
        mLatestIds.put(id.writer(), id);
        return true;
    }

    /** Removes the state of a writer that appends no more records. */
    public void remove(ProcessId writer, Incarnation incarnation) {
        mLatestIds.computeIfPresent(
                writer, (id, latest) -> latest.incarnation().equals(incarnation) ? null : latest);
    }

    private static boolean isAfter(RecordId id, RecordId latest) {
        int comparison = id.incarnation().compareTo(latest.incarnation());
        return comparison > 0 || (comparison == 0 && id.sequence() > latest.sequence());
    }
}
