package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.message.EntryHeartbeat;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.JobCancelled;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.node.NodeSettings;
import org.hickorycleat.platform.NodeSettingsReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs an entry on loopback whose path to the store fails while a peer reaches the store. */
class OwnerUnableToAppendPathTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String LARGE = "{\"cpu_share\":0.75,\"cores\":2,\"link_mbps\":200.0}";
    private static final int OWNER = 24;
    private static final int PEER = 25;
    private static final String JOB = "0000000000000021";

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup mPeerEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final NettyHttpClient mHttpClient = new NettyHttpClient(mEventLoops);
    private final StoreStandIn mStore = new StoreStandIn();
    private final List<Lifecycle> mProcesses = new ArrayList<>();
    private final int mCallerPort = FreePorts.next();
    private final int mReadinessPort = FreePorts.next();
    private final int mLinkPort = FreePorts.next();
    private final InetSocketAddress mStoreAddress = loopback(FreePorts.next());
    private FaultyProxy mStorePath;

    @BeforeEach
    void startStandIns() throws Exception {
        new NettyHttpServer(mEventLoops).listen(mStoreAddress, mStore);
        mStorePath = new FaultyProxy(mStoreAddress);
        mStore.put("keyed.op", "config", FleetExamples.CONFIGURATION);
    }

    @AfterEach
    void stopFleet() throws Exception {
        mProcesses.forEach(Lifecycle::close);
        mStorePath.close();
        // Lets the stand-ins respond to requests in flight.
        TimeUnit.MILLISECONDS.sleep(300);
        mPeerEventLoops.shutdownGracefully(1, 10, TimeUnit.SECONDS).syncUninterruptibly();
        mEventLoops.shutdownGracefully(1, 10, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static String host(int node) {
        return "127.0.0." + node;
    }

    private static InetSocketAddress address(int node, int port) {
        return new InetSocketAddress(host(node), port);
    }

    private static String text(InetSocketAddress address) {
        return "\"" + address.getAddress().getHostAddress() + ":" + address.getPort() + "\"";
    }

    private void startEntry(int node, String limits) throws InterruptedException {
        String listen =
                "{\"front\":"
                        + text(address(node, mCallerPort))
                        + ",\"ready\":"
                        + text(address(node, mReadinessPort))
                        + "}";
        startProcess(node, listen, limits);
    }

    private void startProcess(int node, String listen, String limits) throws InterruptedException {
        String settings =
                "{\"node\":\"node-"
                        + node
                        + "\",\"ip\":\""
                        + host(node)
                        + "\",\"zone\":\"north\",\"listen\":"
                        + listen
                        + ",\"internal_ports\":["
                        + mLinkPort
                        + ","
                        + (mLinkPort + 1)
                        + "],\"seeds\":["
                        + text(address(OWNER, mReadinessPort))
                        + "],\"limits\":"
                        + limits
                        + ",\"platform\":{\"address\":"
                        + text(mStorePath.address())
                        + "},\"bounds\":{\"max_hold_ms\":6000,\"stop_grace_ms\":400}}";
        NodeSettings read = NodeSettingsReader.read(settings.getBytes(StandardCharsets.UTF_8));
        Lifecycle process = FleetProcessFactory.create(read);
        process.start();
        mProcesses.add(process);
    }

    private HttpResponse call(InetSocketAddress address, String method, String path, String body) {
        return mHttpClient
                .call(
                        new HttpCall(
                                address,
                                method,
                                path,
                                Map.of("Host", "h.example"),
                                body.getBytes(StandardCharsets.UTF_8),
                                3_000))
                .onErrorReturnItem(HttpResponse.of(0, new byte[0]))
                .blockingGet();
    }

    private boolean isReady(int entry) {
        return call(address(entry, mReadinessPort), "GET", "/ready", "").status() == 200;
    }

    private void submit(int entry, String job) {
        HttpResponse response =
                call(address(entry, mCallerPort), "POST", "/jobs/" + job, FleetExamples.JOB);
        assertThat(response.status()).as("status of %s", job).isEqualTo(200);
    }

    /** Reaches the store according to its heartbeats, but never relays a request nor claims. */
    private static final class SilentRelay implements FleetLinkListener {
        private final AtomicLong mOwnerAgeMs = new AtomicLong(-1);
        private volatile Optional<FleetLinks> mLinks = Optional.empty();
        private volatile boolean mReachesStore = true;

        @Override
        public void onConnected(FleetNode peer) {}

        @Override
        public void onDisconnected(FleetNode peer) {}

        @Override
        public void onMessage(FleetNode peer, Message message) {
            if (message instanceof EntryHeartbeat heartbeat) {
                mOwnerAgeMs.set(heartbeat.ownerHeartbeatAgeMs());
                EntryHeartbeat response =
                        new EntryHeartbeat(
                                heartbeat.owner(),
                                heartbeat.epoch(),
                                heartbeat.ownerHeartbeatAgeMs(),
                                heartbeat.configurationVersion(),
                                mReachesStore,
                                heartbeat.ownerHeartbeatNumber());
                mLinks.ifPresent(links -> links.send(peer.process(), response));
            }
        }
    }

    private SilentRelay startSilentRelay() throws InterruptedException {
        MessageTransport transport = new MessageTransport(mPeerEventLoops, new TransportMetrics());
        SilentRelay peer = new SilentRelay();
        FleetNode node =
                new FleetNode(
                        new ProcessId("node-" + PEER),
                        ProcessRole.ENTRY,
                        new ZoneId("north"),
                        host(PEER),
                        mLinkPort,
                        100,
                        System.currentTimeMillis());
        peer.mLinks =
                Optional.of(
                        new FleetLinks(transport, node, peer, Schedulers.from(mPeerEventLoops)));
        peer.mLinks.get().start(List.of(address(OWNER, mLinkPort)));
        return peer;
    }

    /** Starts an owner whose progress cannot be stored from now on. */
    private SilentRelay startOwnerUnableToAppend() throws InterruptedException {
        startEntry(OWNER, LARGE);
        Awaitility.await().atMost(TIMEOUT).until(() -> isReady(OWNER));
        SilentRelay peer = startSilentRelay();
        Awaitility.await("owner").atMost(TIMEOUT).until(() -> peer.mOwnerAgeMs.get() == 0);
        submit(OWNER, JOB);
        return peer;
    }

    private void cancelJob(SilentRelay peer) {
        mStorePath.setMode(FaultyProxy.Mode.STALL);
        peer.mLinks
                .orElseThrow()
                .send(new ProcessId("node-" + OWNER), new JobCancelled(new JobId(JOB)));
    }

    /** Guards against an owner that counts as alive although nothing it decides takes effect. */
    @Test
    void stopsToCountAsSchedulingWhenOnlyItsPeersReachStore() throws InterruptedException {
        SilentRelay peer = startOwnerUnableToAppend();
        cancelJob(peer);

        Awaitility.await("owner gives up")
                .atMost(Duration.ofSeconds(8))
                .until(() -> peer.mOwnerAgeMs.get() > 0);
    }

    /** Guards against a change of owner because of an outage of the store. */
    @Test
    void staysOwnerWhileStoreIsDownForAll() throws InterruptedException {
        SilentRelay peer = startOwnerUnableToAppend();
        peer.mReachesStore = false;
        cancelJob(peer);

        Awaitility.await("owner stays")
                .during(Duration.ofSeconds(6))
                .atMost(Duration.ofSeconds(7))
                .until(() -> peer.mOwnerAgeMs.get() == 0);
    }
}
