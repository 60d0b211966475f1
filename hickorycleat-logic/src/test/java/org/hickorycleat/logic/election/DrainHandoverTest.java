package org.hickorycleat.logic.election;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.ProcessRole;
import org.junit.jupiter.api.Test;

class DrainHandoverTest {
    private static final long DRAIN_MS = 5_000;
    private static final long CHECK_INTERVAL_MS = 20;

    private final DrainHandover mHandover = new DrainHandover();

    private static FleetNode entry(String name, long capacityMilli, long startedAtMs) {
        return new FleetNode(
                new ProcessId(name),
                ProcessRole.ENTRY,
                new ZoneId("north"),
                "10.0.0.1",
                7_720,
                capacityMilli,
                startedAtMs);
    }

    @Test
    void offersWhileDecisionsWaitForTheStoreAtEveryCheck() {
        FleetNode peer = entry("entry-2", 360, 100);

        long offeredAtMs = -1;
        for (long now = 0; now < DRAIN_MS && offeredAtMs < 0; now += CHECK_INTERVAL_MS) {
            mHandover.chooseSuccessor(List.of(peer), now);
            if (mHandover.takeDueOffer(false, now).isPresent()) {
                offeredAtMs = now;
            }
        }

        assertThat(offeredAtMs).isBetween(0L, 300L);
    }

    @Test
    void offersAtOnceWhenEveryDecisionIsDurable() {
        mHandover.chooseSuccessor(List.of(entry("entry-2", 360, 100)), 0);

        assertThat(mHandover.takeDueOffer(true, 0)).contains(new ProcessId("entry-2"));
        assertThat(mHandover.takeDueOffer(true, 20)).isEmpty();
    }

    @Test
    void prefersOfEqualPeersTheOneThatStartedLast() {
        List<FleetNode> peers =
                List.of(
                        entry("entry-2", 360, 100),
                        entry("entry-1", 360, 900),
                        entry("entry-3", 360, 100));

        mHandover.chooseSuccessor(peers, 0);

        assertThat(mHandover.takeDueOffer(true, 0)).contains(new ProcessId("entry-1"));
    }

    @Test
    void prefersPeerWithMoreCapacityToOneThatStartedLater() {
        mHandover.chooseSuccessor(
                List.of(entry("entry-2", 750, 100), entry("entry-1", 360, 900)), 0);

        assertThat(mHandover.takeDueOffer(true, 0)).contains(new ProcessId("entry-2"));
    }

    @Test
    void offersToAnotherPeerWhenTheFirstOneDoesNotTakeOver() {
        List<FleetNode> peers = List.of(entry("entry-2", 360, 100), entry("entry-1", 360, 900));
        mHandover.chooseSuccessor(peers, 0);
        mHandover.takeDueOffer(true, 0);

        mHandover.chooseSuccessor(peers, 1_400);
        assertThat(mHandover.takeDueOffer(true, 1_400)).isEmpty();
        mHandover.chooseSuccessor(peers, 1_500);

        assertThat(mHandover.takeDueOffer(true, 1_500)).contains(new ProcessId("entry-2"));
    }

    @Test
    void choosesAnotherPeerWhenTheChosenOneDisconnects() {
        FleetNode first = entry("entry-1", 360, 900);
        FleetNode second = entry("entry-2", 360, 100);
        mHandover.chooseSuccessor(List.of(first, second), 0);

        assertThat(mHandover.chooseSuccessor(List.of(second), 100)).isTrue();
        assertThat(mHandover.takeDueOffer(true, 100)).contains(second.process());
    }

    @Test
    void keepsPlacingTasksWhileThereIsNoPeer() {
        assertThat(mHandover.chooseSuccessor(List.of(), 0)).isFalse();
        assertThat(mHandover.takeDueOffer(true, 400)).isEqualTo(Optional.empty());
    }
}
