package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.ProcessRole;
import org.junit.jupiter.api.Test;

class RelaySelectorTest {
    private static final int REQUESTS = 60;

    private final TestScheduler mScheduler = new TestScheduler();
    private final List<FleetNode> mPeers = new ArrayList<>();
    private final RelaySelector mSelector = selector("small-0");

    private RelaySelector selector(String self) {
        return new RelaySelector(new ProcessId(self), () -> List.copyOf(mPeers), mScheduler);
    }

    private void addPeer(String name, long capacityMilli) {
        mPeers.add(
                new FleetNode(
                        new ProcessId(name),
                        ProcessRole.ENTRY,
                        new ZoneId("north"),
                        "127.0.0.1",
                        7720,
                        capacityMilli,
                        5));
    }

    private void addPeers() {
        addPeer("small-1", 360);
        addPeer("large-1", 1_500);
        addPeer("large-2", 1_500);
        addPeer("large-3", 1_400);
    }

    private static Map<String, Integer> selections(RelaySelector selector) {
        Map<String, Integer> selections = new HashMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            selections.merge(selector.select().orElseThrow().value(), 1, Integer::sum);
        }
        return selections;
    }

    /** Guards against one peer that relays for all. */
    @Test
    void spreadsRequestsOverPeersWithMuchCapacity() {
        addPeers();

        assertThat(selections(mSelector))
                .isEqualTo(
                        Map.of(
                                "large-1",
                                REQUESTS / 3,
                                "large-2",
                                REQUESTS / 3,
                                "large-3",
                                REQUESTS / 3));
    }

    @Test
    void spreadsFirstRequestsOfDifferentProcesses() {
        addPeers();

        assertThat(
                        List.of("small-1", "small-2", "small-3").stream()
                                .map(self -> selector(self).select()))
                .doesNotHaveDuplicates();
    }

    @Test
    void avoidsFailedPeerForSomeTime() {
        addPeers();
        mSelector.onFailed(new ProcessId("large-2"));
        assertThat(selections(mSelector)).containsOnlyKeys("large-1", "large-3");

        mScheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        assertThat(selections(mSelector)).containsOnlyKeys("large-1", "large-2", "large-3");
    }

    @Test
    void selectsSmallPeerWhenLargeOnesFail() {
        addPeers();
        List.of("large-1", "large-2", "large-3")
                .forEach(name -> mSelector.onFailed(new ProcessId(name)));

        assertThat(selections(mSelector)).containsOnlyKeys("small-1");
    }

    @Test
    void selectsFailedPeerWhenAllFailed() {
        addPeer("large-1", 1_500);
        mSelector.onFailed(new ProcessId("large-1"));

        assertThat(mSelector.select()).contains(new ProcessId("large-1"));
    }

    @Test
    void selectsNoneWithoutPeerThatReachesStore() {
        assertThat(mSelector.select()).isEmpty();
    }
}
