package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpRequest;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.EntryHeartbeat;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.OwnershipOffer;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.node.NodeSettings;
import org.hickorycleat.model.store.StoreRecord;
import org.hickorycleat.platform.NodeSettingsReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs entries of different capacity and an agent on loopback against stand-ins. */
class OwnershipTransferPathTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(10);
    private static final String SMALL = "{\"cpu_share\":0.36,\"cores\":1,\"link_mbps\":10.0}";
    private static final String LARGE = "{\"cpu_share\":0.75,\"cores\":2,\"link_mbps\":200.0}";
    private static final int SMALL_ENTRY = 20;
    private static final int LARGE_ENTRY = 21;
    private static final int AGENT = 22;
    private static final int UNRESPONSIVE_ENTRY = 23;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup mPeerEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final NettyHttpClient mHttpClient = new NettyHttpClient(mEventLoops);
    private final StoreStandIn mStore = new StoreStandIn();
    private final WorkerStandIn mWorker = new WorkerStandIn();
    private final ObjectMapper mMapper = new ObjectMapper();
    private final JobLogCodec mCodec = new JobLogCodec();
    private final List<Lifecycle> mProcesses = new ArrayList<>();
    private final int mCallerPort = FreePorts.next();
    private final int mReadinessPort = FreePorts.next();
    private final int mLinkPort = FreePorts.next();
    private final InetSocketAddress mStoreAddress = loopback(FreePorts.next());
    private final InetSocketAddress mWorkerAddress = loopback(FreePorts.next());
    private long mSequence;

    @BeforeEach
    void startStandIns() throws InterruptedException {
        new NettyHttpServer(mEventLoops).listen(mStoreAddress, mStore);
        new NettyHttpServer(mEventLoops).listen(mWorkerAddress, mWorker);
        mStore.put("keyed.op", "config", FleetExamples.CONFIGURATION);
    }

    @AfterEach
    void stopFleet() throws InterruptedException {
        mProcesses.forEach(Lifecycle::close);
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
        startProcess(node, listen, "", limits);
    }

    private void startAgent() throws InterruptedException {
        String listen = "{\"control\":" + text(address(AGENT, mReadinessPort)) + "}";
        String worker = "\"app\":" + text(mWorkerAddress) + ",\"service\":\"booking\",";
        startProcess(AGENT, listen, worker, SMALL);
    }

    private void startProcess(int node, String listen, String worker, String limits)
            throws InterruptedException {
        String settings =
                "{\"node\":\"node-"
                        + node
                        + "\",\"ip\":\""
                        + host(node)
                        + "\",\"zone\":\"north\","
                        + worker
                        + "\"listen\":"
                        + listen
                        + ",\"internal_ports\":["
                        + mLinkPort
                        + ","
                        + (mLinkPort + 1)
                        + "],\"seeds\":["
                        + text(address(SMALL_ENTRY, mReadinessPort))
                        + "],\"limits\":"
                        + limits
                        + ",\"platform\":{\"address\":"
                        + text(mStoreAddress)
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

    private void announceWorker() {
        mSequence++;
        call(
                address(AGENT, mReadinessPort),
                "POST",
                "/instances/i-1/heartbeat",
                mWorker.heartbeat(mSequence));
    }

    private boolean isReady(int entry) {
        return call(address(entry, mReadinessPort), "GET", "/ready", "").status() == 200;
    }

    private void submit(int entry, String job) {
        HttpResponse response =
                call(address(entry, mCallerPort), "POST", "/jobs/" + job, FleetExamples.JOB);
        assertThat(response.status()).as("status of %s", job).isEqualTo(200);
    }

    private void awaitCompleted(int entry, String job) {
        Awaitility.await(job).atMost(COMPLETION_TIMEOUT).until(() -> isCompleted(entry, job));
    }

    private boolean isCompleted(int entry, String job) {
        announceWorker();
        HttpResponse response = call(address(entry, mCallerPort), "GET", "/jobs/" + job, "");
        return new String(response.body(), StandardCharsets.UTF_8).contains("\"completed\"");
    }

    private Optional<StoreRecord> newestRecord(String topic, String key) {
        HttpRequest request =
                new HttpRequest("GET", "/log-newest", "topic=" + topic, Map.of(), new byte[0]);
        try {
            JsonNode page = mMapper.readTree(mStore.handle(request).blockingGet().body());
            for (JsonNode item : page.path("items")) {
                if (item.path("key").asText().equals(key)) {
                    return Optional.of(new StoreRecord(0, key, item.path("value").binaryValue()));
                }
            }
            return Optional.empty();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private String owner() {
        return newestRecord("keyed.jobs", "owner")
                .flatMap(mCodec::decode)
                .map(record -> ((JobRecord.Claimed) record).owner().process().value())
                .orElse("none");
    }

    /** Starts a large peer that receives offers of the ownership but never claims it. */
    private UnresponsivePeer startUnresponsivePeer() throws InterruptedException {
        MessageTransport transport = new MessageTransport(mPeerEventLoops, new TransportMetrics());
        UnresponsivePeer peer = new UnresponsivePeer();
        FleetNode node =
                new FleetNode(
                        new ProcessId("node-" + UNRESPONSIVE_ENTRY),
                        ProcessRole.ENTRY,
                        new ZoneId("north"),
                        host(UNRESPONSIVE_ENTRY),
                        mLinkPort,
                        1_500,
                        System.currentTimeMillis());
        peer.mLinks =
                Optional.of(
                        new FleetLinks(transport, node, peer, Schedulers.from(mPeerEventLoops)));
        peer.mLinks.get().start(List.of(address(SMALL_ENTRY, mLinkPort)));
        return peer;
    }

    /** Follows the owner and reaches the store, as far as its heartbeats tell. */
    private static final class UnresponsivePeer implements FleetLinkListener {
        private final AtomicInteger mOffers = new AtomicInteger();
        private volatile Optional<FleetLinks> mLinks = Optional.empty();

        @Override
        public void onConnected(FleetNode peer) {}

        @Override
        public void onDisconnected(FleetNode peer) {}

        @Override
        public void onMessage(FleetNode peer, Message message) {
            if (message instanceof OwnershipOffer) {
                mOffers.incrementAndGet();
            } else if (message instanceof EntryHeartbeat heartbeat) {
                EntryHeartbeat response =
                        new EntryHeartbeat(
                                heartbeat.owner(),
                                heartbeat.epoch(),
                                heartbeat.ownerHeartbeatAgeMs(),
                                heartbeat.configurationVersion(),
                                true,
                                heartbeat.ownerHeartbeatNumber());
                mLinks.ifPresent(links -> links.send(peer.process(), response));
            }
        }
    }

    private long announcedCapacityMilli(int node) {
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> newestRecord("keyed.entries", "node-" + node).isPresent());
        return newestRecord("keyed.entries", "node-" + node)
                .flatMap(mCodec::decodeEntry)
                .map(FleetNode::capacityMilli)
                .orElseThrow();
    }

    @Test
    void countsAllProcessorsOfEntry() throws InterruptedException {
        startEntry(LARGE_ENTRY, LARGE);

        assertThat(announcedCapacityMilli(LARGE_ENTRY)).isEqualTo(1_500);
    }

    @Test
    void boundsCapacityOfEntryByItsLink() throws InterruptedException {
        startEntry(SMALL_ENTRY, "{\"cpu_share\":0.9,\"cores\":2,\"link_mbps\":10.0}");

        assertThat(announcedCapacityMilli(SMALL_ENTRY)).isLessThan(900);
    }

    @Test
    void completesJobsWhenOfferedPeerNeverClaims() throws InterruptedException {
        startEntry(SMALL_ENTRY, SMALL);
        startAgent();
        Awaitility.await().atMost(TIMEOUT).until(() -> isReady(SMALL_ENTRY));
        submit(SMALL_ENTRY, "0000000000000011");
        awaitCompleted(SMALL_ENTRY, "0000000000000011");

        UnresponsivePeer peer = startUnresponsivePeer();
        Awaitility.await("offer").atMost(TIMEOUT).until(() -> peer.mOffers.get() > 0);
        submit(SMALL_ENTRY, "0000000000000012");
        awaitCompleted(SMALL_ENTRY, "0000000000000012");

        assertThat(owner()).isEqualTo("node-" + SMALL_ENTRY);
    }

    @Test
    void movesOwnershipFromSmallEntryToLargeOneWhileJobsGoOn() throws InterruptedException {
        startEntry(SMALL_ENTRY, SMALL);
        startAgent();
        Awaitility.await().atMost(TIMEOUT).until(() -> isReady(SMALL_ENTRY));
        submit(SMALL_ENTRY, "0000000000000001");
        awaitCompleted(SMALL_ENTRY, "0000000000000001");
        assertThat(owner()).isEqualTo("node-" + SMALL_ENTRY);

        startEntry(LARGE_ENTRY, LARGE);
        Awaitility.await().atMost(TIMEOUT).until(() -> isReady(LARGE_ENTRY));
        List<String> jobs = new ArrayList<>();
        Awaitility.await("owner is the large entry")
                .atMost(TIMEOUT)
                .pollInterval(Duration.ofMillis(200))
                .until(
                        () -> {
                            announceWorker();
                            String job = String.format("%016x", 0x100 + jobs.size());
                            submit(jobs.size() % 2 == 0 ? SMALL_ENTRY : LARGE_ENTRY, job);
                            jobs.add(job);
                            return owner().equals("node-" + LARGE_ENTRY);
                        });
        jobs.forEach(job -> awaitCompleted(SMALL_ENTRY, job));

        submit(SMALL_ENTRY, "0000000000000002");
        awaitCompleted(LARGE_ENTRY, "0000000000000002");
        assertThat(owner()).isEqualTo("node-" + LARGE_ENTRY);
        assertThat(new HashSet<>(mWorker.starts())).hasSize(mWorker.starts().size());
    }
}
