package org.hickorycleat.logic.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickorycleat.model.identifier.ZoneId;
import org.junit.jupiter.api.Test;

class EvacuatedZonesTest {
    private static final ZoneId NORTH = new ZoneId("north");
    private static final ZoneId SOUTH = new ZoneId("south");

    private final EvacuatedZones mZones = new EvacuatedZones();

    @Test
    void evacuatesUntilTakenBack() {
        assertThat(mZones.onRecord(NORTH, 3, true)).isTrue();
        assertThat(mZones.zones()).containsExactly(NORTH);
        assertThat(mZones.onRecord(NORTH, 5, false)).isTrue();
        assertThat(mZones.zones()).isEmpty();
    }

    @Test
    void ignoresRepeatedRequest() {
        mZones.onRecord(NORTH, 3, true);

        assertThat(mZones.onRecord(NORTH, 3, true)).isFalse();
        assertThat(mZones.onRecord(NORTH, 4, true)).isFalse();
    }

    /** Guards against a repeated request whose first copy is taken back by a late record. */
    @Test
    void ignoresRecordsThatArriveLate() {
        mZones.onRecord(NORTH, 6, true);

        assertThat(mZones.onRecord(NORTH, 5, false)).isFalse();
        assertThat(mZones.zones()).containsExactly(NORTH);
        mZones.onRecord(NORTH, 7, false);
        assertThat(mZones.onRecord(NORTH, 6, true)).isFalse();
        assertThat(mZones.zones()).isEmpty();
    }

    @Test
    void keepsZonesApart() {
        mZones.onRecord(NORTH, 1, true);
        mZones.onRecord(SOUTH, 2, true);
        mZones.onRecord(NORTH, 3, false);

        assertThat(mZones.zones()).containsExactly(SOUTH);
    }

    /** Guards against a zone that stays evacuated because the store removed the tombstone. */
    @Test
    void takesBackZoneThatIsMissingFromList() {
        mZones.onRecord(NORTH, 3, true);
        mZones.onRecord(SOUTH, 4, true);
        mZones.onListStarted();
        mZones.onRecord(SOUTH, 4, true);

        assertThat(mZones.onListEnded(9)).isTrue();
        assertThat(mZones.zones()).containsExactly(SOUTH);
    }

    /** Guards against a request lost because its zone sorts before the page that was read last. */
    @Test
    void keepsRequestStoredAfterListStarted() {
        mZones.onListStarted();
        mZones.onListEnded(9);
        mZones.onRecord(NORTH, 9, true);
        mZones.onListStarted();

        assertThat(mZones.onListEnded(9)).isFalse();
        assertThat(mZones.zones()).containsExactly(NORTH);
    }

    /** Guards against a zone that is evacuated again by a list from before it was taken back. */
    @Test
    void ignoresRecordsOfOutdatedList() {
        mZones.onRecord(NORTH, 3, true);
        mZones.onListStarted();
        mZones.onListEnded(9);
        mZones.onListStarted();
        mZones.onRecord(NORTH, 3, true);
        mZones.onListEnded(4);

        assertThat(mZones.zones()).isEmpty();
    }

    /** Guards against an evacuation that ends because the read of the list starts again. */
    @Test
    void changesNothingWhenListIsReadAgain() {
        mZones.onRecord(NORTH, 3, true);
        mZones.onListStarted();
        mZones.onListStarted();
        mZones.onRecord(NORTH, 3, true);

        assertThat(mZones.onListEnded(4)).isFalse();
        assertThat(mZones.zones()).containsExactly(NORTH);
    }
}
