package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.hickorycleat.logic.membership.EntryMembership;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs the links of a fleet for hours with rare faults, so that every time constant of the links
 * passes many times. The promises: soon after a fault has ended, every process is linked to every
 * entry; entries that were replaced are forgotten.
 */
class LinksOverHoursPropertyTest {
    private static final long SEEDS = 12;
    private static final int ENTRIES = 4;
    private static final int AGENTS = 4;
    private static final int FAULTS = 25;
    private static final int PORT = 7_720;

    /** Longest time from the end of a fault until all links exist, in seconds. */
    private static final int RECOVERY_S = 8;

    private final TestScheduler mScheduler = new TestScheduler();
    private final SimulatedNetwork mNetwork = new SimulatedNetwork(mScheduler);
    private final List<Node> mNodes = new ArrayList<>();
    private final List<InetSocketAddress> mReplaced = new ArrayList<>();
    private int mHosts;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    /** A process of the fleet on its host. */
    private final class Node implements FleetLinkListener {
        private final FleetNode mSelf;
        private final FleetLinks mLinks;

        Node(String process, ProcessRole role, String host) throws InterruptedException {
            mSelf =
                    new FleetNode(
                            new ProcessId(process),
                            role,
                            new ZoneId("north"),
                            host,
                            PORT,
                            1_000,
                            nowMs());
            mLinks = new FleetLinks(mNetwork.start(host), mSelf, this, mScheduler);
            mLinks.start(seedAddresses());
        }

        private boolean isLinkedTo(Node other) {
            return mLinks.connectedPeers(other.mSelf.role()).contains(other.mSelf);
        }

        @Override
        public void onConnected(FleetNode peer) {}

        @Override
        public void onDisconnected(FleetNode peer) {}

        @Override
        public void onMessage(FleetNode peer, Message message) {}
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    private String nextHost() {
        mHosts++;
        return "10.0." + mHosts / 200 + "." + (mHosts % 200 + 1);
    }

    // The first entry is never replaced. The second seed is stale from the start.
    private static List<InetSocketAddress> seedAddresses() {
        return List.of(
                new InetSocketAddress("10.0.0.2", PORT), new InetSocketAddress("10.9.0.1", PORT));
    }

    private void startFleet() throws InterruptedException {
        for (int i = 1; i <= ENTRIES; i++) {
            mNodes.add(new Node("entry-" + i, ProcessRole.ENTRY, nextHost()));
        }
        for (int i = 1; i <= AGENTS; i++) {
            mNodes.add(new Node("agent-" + i, ProcessRole.AGENT, nextHost()));
        }
        readEntryLists();
        advance(RECOVERY_S);
    }

    // Entries read the list of the store every few seconds.
    private void readEntryLists() {
        List<FleetNode> entries = mNodes.subList(0, ENTRIES).stream().map(n -> n.mSelf).toList();
        mNodes.subList(0, ENTRIES).forEach(node -> node.mLinks.addEntries(entries));
    }

    private void advance(int seconds) {
        mScheduler.advanceTimeBy(seconds, TimeUnit.SECONDS);
    }

    private List<String> missingLinks() {
        List<String> missing = new ArrayList<>();
        for (Node node : mNodes) {
            for (Node entry : mNodes.subList(0, ENTRIES)) {
                boolean linked =
                        node == entry || (node.isLinkedTo(entry) && entry.isLinkedTo(node));
                if (!linked) {
                    missing.add(node.mSelf.process() + " to " + entry.mSelf.process());
                }
            }
        }
        return missing;
    }

    private void injectFault(Random random) throws InterruptedException {
        int index = random.nextInt(mNodes.size());
        String host = mNodes.get(index).mSelf.host();
        switch (random.nextInt(5)) {
            case 0 -> mNetwork.reset(host);
            case 1 -> cutFor(host, 1 + random.nextInt(20));
            case 2 -> cutFor(host, 60 + random.nextInt(600));
            case 3 -> {
                mNetwork.fail(host);
                advance(random.nextInt(10));
                restart(index, host);
            }
            default -> replace(random);
        }
    }

    private void cutFor(String host, int seconds) {
        mNetwork.cut(host);
        advance(seconds);
        mNetwork.heal(host);
    }

    private void restart(int index, String host) throws InterruptedException {
        FleetNode former = mNodes.get(index).mSelf;
        mNodes.set(index, new Node(former.process().value(), former.role(), host));
        readEntryLists();
    }

    // The new entry has another name and another address.
    private void replace(Random random) throws InterruptedException {
        int index = 1 + random.nextInt(ENTRIES - 1);
        FleetNode former = mNodes.get(index).mSelf;
        mNetwork.fail(former.host());
        mReplaced.add(new InetSocketAddress(former.host(), former.port()));
        String host = nextHost();
        mNodes.set(index, new Node("entry-new-" + mHosts, ProcessRole.ENTRY, host));
        readEntryLists();
    }

    /** Guards against links that are not opened again because of the age of what was lost. */
    @ParameterizedTest
    @MethodSource("seeds")
    void everyProcessIsLinkedToEveryEntrySoonAfterFault(long seed) throws InterruptedException {
        Random random = new Random(seed);
        startFleet();
        for (int fault = 0; fault < FAULTS; fault++) {
            advance(random.nextInt(600));
            injectFault(random);
            advance(RECOVERY_S);
            assertThat(missingLinks()).as("seed %d, fault %d", seed, fault).isEmpty();
        }
    }

    /** Guards against a process that forgets entries that only it cannot reach. */
    @Test
    void processThatWasAloneForHoursIsLinkedAgain() throws InterruptedException {
        startFleet();
        for (int index : new int[] {0, 1, ENTRIES}) {
            cutFor(mNodes.get(index).mSelf.host(), 10_000);
            advance(RECOVERY_S);
            assertThat(missingLinks()).isEmpty();
        }
    }

    /**
     * Guards against a list of entries, or attempts to connect, that grow with replaced entries.
     */
    @Test
    void forgetsReplacedEntries() throws InterruptedException {
        Random random = new Random(1);
        startFleet();
        for (int i = 0; i < 10; i++) {
            replace(random);
            advance(60);
        }
        advance((int) TimeUnit.MILLISECONDS.toSeconds(EntryMembership.EXPIRY_MS) + RECOVERY_S);
        List<Integer> dials = mReplaced.stream().map(mNetwork::dials).toList();
        advance(600);

        assertThat(mNodes)
                .allSatisfy(
                        node ->
                                assertThat(node.mLinks.entries())
                                        .hasSize(ENTRIES)
                                        .allMatch(this::isInFleet));
        assertThat(mReplaced.stream().map(mNetwork::dials).toList()).isEqualTo(dials);
    }

    private boolean isInFleet(FleetNode entry) {
        return IntStream.range(0, ENTRIES).anyMatch(i -> mNodes.get(i).mSelf.equals(entry));
    }
}
