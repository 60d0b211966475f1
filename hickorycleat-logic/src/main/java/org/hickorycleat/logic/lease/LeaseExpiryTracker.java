package org.hickorycleat.logic.lease;

import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.TaskId;

/**
 * Times at which leases have certainly expired, by the owner's clock. An attempt without an entry
 * is never proven to have expired.
 */
public final class LeaseExpiryTracker {
    private final LeaseSettings mSettings;
    private final Map<TaskId, Entry> mEntries = new HashMap<>();

    /** Creates an empty ledger. */
    public LeaseExpiryTracker(LeaseSettings settings) {
        mSettings = settings;
    }

    /** Records a grant that is about to be sent. */
    public void recordGrant(TaskId task, AttemptNumber attempt, long nowMs) {
        long expiryMs = nowMs + mSettings.leaseMs() + mSettings.driftMarginMs();
        Entry before = mEntries.get(task);
        if (before == null || !before.attempt().equals(attempt) || before.expiryMs() < expiryMs) {
            mEntries.put(task, new Entry(attempt, expiryMs));
        }
    }

    /** Records a grant unless one is recorded for the attempt. */
    public void recordGrantIfAbsent(TaskId task, AttemptNumber attempt, long nowMs) {
        if (expiryMs(task, attempt) == Long.MAX_VALUE) {
            recordGrant(task, attempt, nowMs);
        }
    }

    /** Records that earlier owners may go on granting until their limit without the log. */
    public void recordPreviousOwnerGrants(TaskId task, AttemptNumber attempt, long claimedMs) {
        mEntries.put(task, new Entry(attempt, claimedMs + mSettings.unreachableWaitMs()));
    }

    /** Records that the worker refuses the grants of earlier owners from now on. */
    public void recordFence(TaskId task, AttemptNumber attempt, long nowMs) {
        long expiryMs = nowMs + mSettings.leaseMs() + mSettings.driftMarginMs();
        mEntries.put(task, new Entry(attempt, expiryMs));
    }

    /** Tells whether the lease of the attempt has certainly expired. */
    public boolean isExpired(TaskId task, AttemptNumber attempt, long nowMs) {
        Entry entry = mEntries.get(task);
        return entry != null && entry.attempt().equals(attempt) && entry.expiryMs() <= nowMs;
    }

    /** Returns when the lease of the attempt has certainly expired; the maximum if unknown. */
    public long expiryMs(TaskId task, AttemptNumber attempt) {
        Entry entry = mEntries.get(task);
        return entry != null && entry.attempt().equals(attempt) ? entry.expiryMs() : Long.MAX_VALUE;
    }

    /** Forgets the attempts of a task. */
    public void remove(TaskId task) {
        mEntries.remove(task);
    }

    /** Forgets everything. */
    public void clear() {
        mEntries.clear();
    }

    private record Entry(AttemptNumber attempt, long expiryMs) {}
}
