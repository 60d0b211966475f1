package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.transport.MessageConnection;
import org.hickorycleat.daemon.transport.MessageListener;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetEntries;
import org.hickorycleat.model.message.FleetHello;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FleetEntryListTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int OTHER_ENTRIES = 12;

    private final MessageTransport mTransport =
            new MessageTransport(1, new TransportMetrics(new SimpleMeterRegistry()));
    private final TestScheduler mScheduler = new TestScheduler();
    private final List<FleetEntries> mReceived = new CopyOnWriteArrayList<>();

    @AfterEach
    void closeTransport() {
        mTransport.close();
    }

    private static FleetNode node(String process, ProcessRole role) {
        return new FleetNode(
                new ProcessId(process),
                role,
                new ZoneId("north"),
                "127.0.0.1",
                FreePorts.next(),
                1_000,
                1);
    }

    private static FleetLinkListener ignoringListener() {
        return new FleetLinkListener() {
            @Override
            public void onConnected(FleetNode peer) {}

            @Override
            public void onDisconnected(FleetNode peer) {}

            @Override
            public void onMessage(FleetNode peer, Message message) {}
        };
    }

    private void connectAgent(FleetNode entry) {
        MessageListener listener =
                new MessageListener() {
                    @Override
                    public void onOpen(MessageConnection connection) {
                        connection.send(new FleetHello(node("agent-1", ProcessRole.AGENT)));
                    }

                    @Override
                    public void onMessage(MessageConnection connection, Message message) {
                        if (message instanceof FleetEntries entries) {
                            mReceived.add(entries);
                        }
                    }

                    @Override
                    public void onClose(MessageConnection connection) {}
                };
        mTransport.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), entry.port()),
                listener,
                error -> {});
    }

    /** Guards against a burst of entry lists to all agents while the whole fleet restarts. */
    @Test
    void sendsOneEntryListToAgentForEntriesDiscoveredTogether() throws InterruptedException {
        FleetNode entry = node("entry-0", ProcessRole.ENTRY);
        FleetLinks links = new FleetLinks(mTransport, entry, ignoringListener(), mScheduler);
        links.start(List.of());
        connectAgent(entry);
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(
                        () ->
                                !links.connectedPeers(ProcessRole.AGENT).isEmpty()
                                        && !mReceived.isEmpty());
        mReceived.clear();

        for (int i = 1; i <= OTHER_ENTRIES; i++) {
            links.addEntries(List.of(node("entry-" + i, ProcessRole.ENTRY)));
        }
        mScheduler.advanceTimeBy(200, TimeUnit.MILLISECONDS);

        Awaitility.await()
                .atMost(TIMEOUT)
                .until(
                        () ->
                                mReceived.stream()
                                        .anyMatch(
                                                list ->
                                                        list.entries().size()
                                                                == OTHER_ENTRIES + 1));
        assertThat(mReceived).hasSize(1);
    }
}
