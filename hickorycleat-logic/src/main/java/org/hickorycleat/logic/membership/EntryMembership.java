package org.hickorycleat.logic.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.KnownEntry;

/**
 * Decides which entries belong to the fleet.
 *
 * <p>An entry that this process cannot reach still belongs to the fleet while any process has
 * contact to it. Processes therefore exchange the age of the last contact, which only a process
 * that is connected to the entry sets back to zero. An entry is gone once nobody has had contact to
 * it for {@link #EXPIRY_MS}.
 */
public final class EntryMembership {
    /**
     * Time without contact to any process after which an entry is gone, in milliseconds; regions
     * lose each other for minutes.
     */
    public static final long EXPIRY_MS = 3_600_000;

    private final Map<ProcessId, Member> mMembers = new LinkedHashMap<>();

    /** An entry and the time of the last contact that any process had to it. */
    private record Member(FleetNode node, long contactAtMs) {}

    /**
     * Adds an entry, or updates its address if it has restarted since.
     *
     * @param contactAgeMs time since the last contact of any process to it, in milliseconds
     * @return whether the entry was unknown, or known with an earlier start time
     */
    public boolean add(FleetNode entry, long contactAgeMs, long nowMs) {
        long ageMs = Math.max(0, contactAgeMs);
        if (ageMs > EXPIRY_MS) {
            return false;
        }
        Member known = mMembers.get(entry.process());
        if (known != null && known.node().startedAtMs() >= entry.startedAtMs()) {
            boolean sameStart = known.node().startedAtMs() == entry.startedAtMs();
            if (sameStart && nowMs - ageMs > known.contactAtMs()) {
                mMembers.put(entry.process(), new Member(known.node(), nowMs - ageMs));
            }
            return false;
        }
        mMembers.put(entry.process(), new Member(entry, nowMs - ageMs));
        return true;
    }

    /**
     * Adds an entry that may have been gone for any time. If it is known, the age of its last
     * contact stays.
     *
     * @return whether the entry was unknown, or known with an earlier start time
     */
    public boolean addUnconfirmed(FleetNode entry, long nowMs) {
        Member known = mMembers.get(entry.process());
        boolean current = known != null && known.node().startedAtMs() >= entry.startedAtMs();
        return !current && add(entry, 0, nowMs);
    }

    /** Records that this process is connected to an entry. */
    public void onContact(ProcessId entry, long nowMs) {
        mMembers.computeIfPresent(entry, (process, member) -> new Member(member.node(), nowMs));
    }

    /** Removes the entries that are gone, and returns them. */
    public List<FleetNode> removeGone(long nowMs) {
        List<FleetNode> gone = new ArrayList<>();
        for (Member member : mMembers.values()) {
            if (nowMs - member.contactAtMs() > EXPIRY_MS) {
                gone.add(member.node());
            }
        }
        gone.forEach(entry -> mMembers.remove(entry.process()));
        return gone;
    }

    /** Returns the entries that belong to the fleet. */
    public List<FleetNode> entries() {
        return mMembers.values().stream().map(Member::node).toList();
    }

    /** Returns the entries with the ages of their last contacts. */
    public List<KnownEntry> knownEntries(long nowMs) {
        return mMembers.values().stream()
                .map(member -> new KnownEntry(member.node(), nowMs - member.contactAtMs()))
                .toList();
    }
}
