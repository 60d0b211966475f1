package org.hickorycleat.logic.lease;

import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.TaskId;

/**
 * Tracks the expiry of leases by the owner's clock, including the margin for clock drift. An
 * attempt without an entry is never considered expired.
 */
public final class LeaseExpiryTracker {
    private final LeaseSettings mSettings;
    private final Map<TaskId, Entry> mEntries = new HashMap<>();

    /** Creates a tracker without entries. */
    public LeaseExpiryTracker(LeaseSettings settings) {
        mSettings = settings;
    }

    /** Records a grant; must be called before the grant is sent. */
    public void recordGrant(TaskId task, AttemptNumber attempt, long nowMs) {
        long expiryMs = nowMs + mSettings.leaseMs() + mSettings.driftMarginMs();
        Entry previous = mEntries.get(task);
        if (previous == null
                || !previous.attempt().equals(attempt)
                || previous.expiryMs() < expiryMs) {
            mEntries.put(task, new Entry(attempt, expiryMs));
        }
    }

    /** Records a grant unless the attempt already has an entry. */
    public void recordGrantIfAbsent(TaskId task, AttemptNumber attempt, long nowMs) {
        if (expiryMs(task, attempt) == Long.MAX_VALUE) {
            recordGrant(task, attempt, nowMs);
        }
    }

    /**
     * Records that previous owners may continue to grant leases until their limit without the log
     * has passed.
     */
    public void recordPreviousOwnerGrants(TaskId task, AttemptNumber attempt, long claimedMs) {
        mEntries.put(task, new Entry(attempt, claimedMs + mSettings.previousLeaseValidityMs()));
    }

    /** Records that the worker rejects grants of previous owners from now on. */
    public void recordFence(TaskId task, AttemptNumber attempt, long nowMs) {
        long expiryMs = nowMs + mSettings.leaseMs() + mSettings.driftMarginMs();
        mEntries.put(task, new Entry(attempt, expiryMs));
    }

    /**
     * Returns whether the lease of the attempt has expired by any clock within the drift margin.
     */
    public boolean isExpired(TaskId task, AttemptNumber attempt, long nowMs) {
        Entry entry = mEntries.get(task);
        return entry != null && entry.attempt().equals(attempt) && entry.expiryMs() <= nowMs;
    }

    /** Returns the lease expiry of the attempt; {@code Long.MAX_VALUE} if it has no entry. */
    public long expiryMs(TaskId task, AttemptNumber attempt) {
        Entry entry = mEntries.get(task);
        return entry != null && entry.attempt().equals(attempt) ? entry.expiryMs() : Long.MAX_VALUE;
    }

    /** Removes the entry of a task. */
    public void remove(TaskId task) {
        mEntries.remove(task);
    }

    /** Removes all entries. */
    public void clear() {
        mEntries.clear();
    }

    private record Entry(AttemptNumber attempt, long expiryMs) {}
}
