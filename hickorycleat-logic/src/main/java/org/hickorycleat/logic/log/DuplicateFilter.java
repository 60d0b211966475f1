package org.hickorycleat.logic.log;

import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RecordId;

/**
 * Recognises second copies of records.
 *
 * <p>A writer appends one record at a time, so each first copy has a higher incarnation or sequence
 * than all before it. A record of an older incarnation is a late copy or comes from a process that
 * has been replaced; either is dropped. Not safe for use by several threads.
 */
public final class DuplicateFilter {
    private final Map<ProcessId, RecordId> mNewest = new HashMap<>();

    /** Tells whether a record is the first copy, and remembers it. */
    public boolean acceptIfFirst(RecordId id) {
        RecordId newest = mNewest.get(id.writer());
        if (newest != null && !isAfter(id, newest)) {
            return false;
        }
        mNewest.put(id.writer(), id);
        return true;
    }

    /** Forgets a writer that will not append any more. */
    public void forget(ProcessId writer, Incarnation incarnation) {
        mNewest.computeIfPresent(
                writer, (id, newest) -> newest.incarnation().equals(incarnation) ? null : newest);
    }

    private static boolean isAfter(RecordId id, RecordId newest) {
        int comparison = id.incarnation().compareTo(newest.incarnation());
        return comparison > 0 || (comparison == 0 && id.sequence() > newest.sequence());
    }
}
