package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.transport.MessageCodec;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetEntries;
import org.hickorycleat.model.message.FleetHello;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.KnownEntry;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetLinksTest implements FleetLinkListener {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String LOOPBACK = "127.0.0.1";
    private static final long SILENCE_MS = 1_000;

    private final TestScheduler mScheduler = new TestScheduler();
    private final MessageTransport mTransport =
            new MessageTransport(1, new TransportMetrics(new SimpleMeterRegistry()));
    private final FleetNode mSelf = node("agent-1", ProcessRole.AGENT, LOOPBACK, FreePorts.next());
    private final FleetLinks mLinks = new FleetLinks(mTransport, mSelf, this, mScheduler);

    @BeforeEach
    void discardUndeliverableErrors() {
        RxJavaPlugins.setErrorHandler(error -> {});
    }

    @AfterEach
    void stop() {
        RxJavaPlugins.reset();
        mTransport.close();
    }

    @Override
    public void onConnected(FleetNode peer) {
        // Only the connections are observed.
    }

    @Override
    public void onDisconnected(FleetNode peer) {
        // Only the connections are observed.
    }

    @Override
    public void onMessage(FleetNode peer, Message message) {
        // Only the connections are observed.
    }

    private static FleetNode node(String name, ProcessRole role, String host, int port) {
        return new FleetNode(new ProcessId(name), role, new ZoneId("north"), host, port, 750, 5);
    }

    private static FleetNode entry(String name, String host, int port) {
        return node(name, ProcessRole.ENTRY, host, port);
    }

    private Socket connectAndSend(Message... messages) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mSelf.port());
        send(socket, messages);
        return socket;
    }

    private static void send(Socket socket, Message... messages) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        for (Message message : messages) {
            byte[] content = new MessageCodec().encode(message);
            out.writeInt(content.length);
            out.write(content);
        }
        out.flush();
    }

    private void assertStillConnects() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout((int) TIMEOUT.toMillis());
            mLinks.addEntries(List.of(entry("entry-9", LOOPBACK, server.getLocalPort())));
            advance();
            server.accept().close();
        }
    }

    private void advance() {
        for (int i = 0; i < 20; i++) {
            mScheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards against an entry without a usable address that hides others or is passed on. */
    @ParameterizedTest
    @CsvSource({"127.0.0.1,70000", "127.0.0.1,-1", "127.0.0.1,0", "a b,80", "'',80"})
    void addsOtherEntriesOfListWithOddEntry(String host, int port) {
        FleetNode good = entry("entry-9", LOOPBACK, 80);
        mLinks.addEntries(List.of(entry("entry-1", host, port), good));

        assertThat(mLinks.entries()).containsExactly(good);
    }

    /** Guards against a lost link that waits for a round of a connected process. */
    @Test
    void reconnectsWithin300MsOfTheLossOfLink() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout((int) TIMEOUT.toMillis());
            mLinks.start(
                    List.of(
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), server.getLocalPort())));
            Socket first = server.accept();
            advance();
            TimeUnit.MILLISECONDS.sleep(200);
            first.close();
            TimeUnit.MILLISECONDS.sleep(300);
            mScheduler.advanceTimeBy(150, TimeUnit.MILLISECONDS);
            mScheduler.advanceTimeBy(150, TimeUnit.MILLISECONDS);

            server.accept().close();
        }
    }

    /** Guards against a link that is never opened again because it was opened long before. */
    @Test
    void reconnectsAfterTheLossOfOldLink() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout((int) TIMEOUT.toMillis());
            FleetNode peer = entry("entry-9", LOOPBACK, server.getLocalPort());
            mLinks.addEntries(List.of(peer));
            mLinks.start(List.of());
            Socket first = server.accept();
            send(first, new FleetHello(peer));
            Awaitility.await()
                    .atMost(TIMEOUT)
                    .until(() -> mLinks.connectedPeers(ProcessRole.ENTRY).contains(peer));
            mScheduler.advanceTimeBy(1, TimeUnit.DAYS);
            TimeUnit.MILLISECONDS.sleep(200);
            first.close();
            TimeUnit.MILLISECONDS.sleep(300);
            advance();

            server.accept().close();
        }
    }

    /** Guards against a process that connects to no entry any more. */
    @Test
    void connectsAfterHelloWithPortOutOfRange() throws Exception {
        mLinks.start(List.of());
        try (Socket socket =
                connectAndSend(new FleetHello(node("odd", ProcessRole.AGENT, LOOPBACK, 70_000)))) {
            TimeUnit.MILLISECONDS.sleep(500);
            assertThat(socket.isConnected()).isTrue();
            assertStillConnects();
        }
    }

    /** Guards against a peer that takes part without an address at which it can be reached. */
    @Test
    void acceptsNoPeerWithPortOutOfRange() throws Exception {
        mLinks.start(List.of());
        FleetNode good = entry("entry-9", LOOPBACK, 80);
        try (Socket odd = connectAndSend(new FleetHello(entry("odd", LOOPBACK, 70_000)));
                Socket other = connectAndSend(new FleetHello(good))) {
            Awaitility.await()
                    .atMost(TIMEOUT)
                    .until(() -> mLinks.connectedPeers(ProcessRole.ENTRY).contains(good));
            assertThat(odd.getPort()).isEqualTo(other.getPort());
            assertThat(mLinks.connectedPeers(ProcessRole.ENTRY)).containsExactly(good);
        }
    }

    /** Guards against a list of a peer in which one odd entry hides the others. */
    @Test
    void addsOtherEntriesOfPeersListWithOddEntry() throws Exception {
        mLinks.start(List.of());
        FleetNode good = entry("entry-9", LOOPBACK, 80);
        try (Socket socket =
                connectAndSend(
                        new FleetEntries(
                                List.of(
                                        new KnownEntry(entry("odd", LOOPBACK, 70_000), 0),
                                        new KnownEntry(good, 0))))) {
            Awaitility.await().atMost(TIMEOUT).until(() -> mLinks.entries().contains(good));
            assertThat(socket.isConnected()).isTrue();
            assertThat(mLinks.entries()).containsExactly(good);
        }
    }

    @Test
    void connectsToEntries() throws Exception {
        mLinks.start(List.of());
        assertStillConnects();
    }

    @Test
    void connectsAfterBytesThatAreNoMessage() throws Exception {
        mLinks.start(List.of());
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mSelf.port())) {
            socket.getOutputStream().write(new byte[] {0, 0, 0, 2, (byte) 0xdd, 1});
            socket.getOutputStream().flush();
            assertStillConnects();
        }
    }

    private static void discardReceived(Socket socket) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(200);
        socket.getInputStream().skipNBytes(socket.getInputStream().available());
    }

    /** Guards against messages that are sent into a link which went silent without being closed. */
    @Test
    void opensLinkBesideSilentOneAndSendsOnIt() throws Exception {
        mLinks.start(List.of());
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            FleetNode peer = entry("entry-9", LOOPBACK, server.getLocalPort());
            Socket silent = connectAndSend(new FleetHello(peer));
            Awaitility.await()
                    .atMost(TIMEOUT)
                    .until(() -> mLinks.connectedPeers(ProcessRole.ENTRY).contains(peer));
            mScheduler.advanceTimeBy(SILENCE_MS, TimeUnit.MILLISECONDS);
            server.setSoTimeout(500);
            mLinks.reopenSilentLinks(ProcessRole.ENTRY, SILENCE_MS);
            assertThatThrownBy(server::accept).isInstanceOf(SocketTimeoutException.class);

            mScheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            server.setSoTimeout((int) TIMEOUT.toMillis());
            mLinks.reopenSilentLinks(ProcessRole.ENTRY, SILENCE_MS);
            Socket reopened = server.accept();
            send(reopened, new FleetHello(peer));
            discardReceived(reopened);
            discardReceived(silent);
            assertThat(mLinks.send(peer.process(), new FleetHello(mSelf))).isTrue();

            Awaitility.await()
                    .atMost(TIMEOUT)
                    .until(() -> reopened.getInputStream().available() > 0);
            assertThat(silent.getInputStream().available()).isZero();
            silent.close();
            reopened.close();
        }
    }

    /** Guards against a new link at every check while a peer does not respond. */
    @Test
    void waitsBetweenAttemptsToReachSilentPeer() throws Exception {
        mLinks.start(List.of());
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            FleetNode peer = entry("entry-9", LOOPBACK, server.getLocalPort());
            Socket silent = connectAndSend(new FleetHello(peer));
            Awaitility.await()
                    .atMost(TIMEOUT)
                    .until(() -> mLinks.connectedPeers(ProcessRole.ENTRY).contains(peer));
            for (int i = 0; i < 100; i++) {
                mScheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
                mLinks.reopenSilentLinks(ProcessRole.ENTRY, SILENCE_MS);
            }

            server.setSoTimeout(500);
            int attempts = 0;
            try {
                while (attempts < 100) {
                    server.accept();
                    attempts++;
                }
            } catch (SocketTimeoutException e) {
                // No further connection was opened.
            }
            assertThat(attempts).isBetween(2, 4);
            silent.close();
        }
    }
}
