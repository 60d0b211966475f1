package org.hickorycleat.logic.election;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.ProcessRole;
import org.junit.jupiter.api.Test;

class EpochGeneratorTest {
    private static FleetNode node(String process, long startedAtMs) {
        return new FleetNode(
                new ProcessId(process),
                ProcessRole.ENTRY,
                new ZoneId("north"),
                "127.0.0.1",
                1,
                750,
                startedAtMs);
    }

    /**
     * Guards against two simultaneous claims with the same epoch, which the store would both
     * confirm.
     */
    @Test
    void differsBetweenProcessesThatKnowTheSameEpoch() {
        Epoch known = new Epoch(-1);

        assertThat(EpochGenerator.next(known, node("entry-1", 5)))
                .isNotEqualTo(EpochGenerator.next(known, node("entry-2", 5)));
        assertThat(EpochGenerator.next(known, node("entry-1", 5)))
                .isNotEqualTo(EpochGenerator.next(known, node("entry-1", 6)));
    }

    @Test
    void exceedsEveryKnownEpoch() {
        Epoch epoch = new Epoch(-1);
        for (int i = 0; i < 100; i++) {
            Epoch next = EpochGenerator.next(epoch, node("entry-" + i % 3, i));
            assertThat(next).isGreaterThan(epoch);
            epoch = next;
        }
    }
}
