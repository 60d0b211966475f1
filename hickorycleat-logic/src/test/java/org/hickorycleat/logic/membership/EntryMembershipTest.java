package org.hickorycleat.logic.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.KnownEntry;
import org.hickorycleat.model.message.ProcessRole;
import org.junit.jupiter.api.Test;

class EntryMembershipTest {
    private static final long EXPIRY_MS = EntryMembership.EXPIRY_MS;

    private final EntryMembership mMembership = new EntryMembership();

    private static FleetNode entry(String name, long startedAtMs) {
        return new FleetNode(
                new ProcessId(name),
                ProcessRole.ENTRY,
                new ZoneId("north"),
                "127.0.0.1",
                80,
                750,
                startedAtMs);
    }

    /** Guards against an entry that is forgotten because only this process cannot reach it. */
    @Test
    void keepsEntryThatAnotherProcessHadContactTo() {
        FleetNode entry = entry("entry-1", 5);
        mMembership.add(entry, 0, 0);
        assertThat(mMembership.add(entry, 10, EXPIRY_MS)).isFalse();

        assertThat(mMembership.removeGone(2 * EXPIRY_MS - 10)).isEmpty();
        assertThat(mMembership.removeGone(2 * EXPIRY_MS - 9)).containsExactly(entry);
        assertThat(mMembership.entries()).isEmpty();
    }

    /** Guards against peers that keep a gone entry alive by telling each other of it. */
    @Test
    void hearsayDoesNotRejuvenateEntry() {
        EntryMembership other = new EntryMembership();
        FleetNode entry = entry("entry-1", 5);
        mMembership.add(entry, 0, 0);
        for (long nowMs = 0; nowMs <= EXPIRY_MS + 10; nowMs += 10) {
            exchange(mMembership, other, nowMs);
            exchange(other, mMembership, nowMs);
        }

        assertThat(mMembership.removeGone(EXPIRY_MS + 11)).containsExactly(entry);
        exchange(other, mMembership, EXPIRY_MS + 11);
        assertThat(mMembership.entries()).isEmpty();
    }

    private static void exchange(EntryMembership from, EntryMembership to, long nowMs) {
        for (KnownEntry known : from.knownEntries(nowMs)) {
            to.add(known.node(), known.contactAgeMs(), nowMs);
        }
    }

    @Test
    void contactKeepsEntry() {
        FleetNode entry = entry("entry-1", 5);
        mMembership.add(entry, 0, 0);
        mMembership.onContact(entry.process(), EXPIRY_MS);

        assertThat(mMembership.removeGone(2 * EXPIRY_MS)).isEmpty();
    }

    /** Guards against records of gone entries in the store that keep their addresses forever. */
    @Test
    void unconfirmedListingDoesNotRejuvenateKnownEntry() {
        FleetNode entry = entry("entry-1", 5);
        assertThat(mMembership.addUnconfirmed(entry, 0)).isTrue();
        assertThat(mMembership.addUnconfirmed(entry, EXPIRY_MS)).isFalse();

        assertThat(mMembership.removeGone(EXPIRY_MS + 1)).containsExactly(entry);
    }

    @Test
    void replacesAddressOfRestartedEntryOnly() {
        FleetNode restarted = entry("entry-1", 6);
        mMembership.add(entry("entry-1", 5), 0, 0);
        assertThat(mMembership.add(restarted, 0, 1)).isTrue();
        assertThat(mMembership.add(entry("entry-1", 5), 0, 2)).isFalse();

        assertThat(mMembership.entries()).isEqualTo(List.of(restarted));
    }

    /** Guards against ages out of range in the message of an odd peer. */
    @Test
    void boundsAgesThatPeersReport() {
        FleetNode entry = entry("entry-1", 5);
        assertThat(mMembership.add(entry, Long.MAX_VALUE, 0)).isFalse();
        assertThat(mMembership.add(entry, Long.MIN_VALUE, 0)).isTrue();

        assertThat(mMembership.removeGone(EXPIRY_MS)).isEmpty();
        assertThat(mMembership.removeGone(EXPIRY_MS + 1)).containsExactly(entry);
    }
}
