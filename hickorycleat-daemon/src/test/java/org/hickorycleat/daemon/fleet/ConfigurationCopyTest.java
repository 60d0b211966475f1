package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.daemon.transport.MessageCodec;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.node.NodeSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Copies configurations between entries on loopback, one of which does not reach the store. */
class ConfigurationCopyTest {
    private static final int ENTRIES = 3;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

    /** Time within which an accepted configuration must be in force at every entry. */
    private static final Duration ACTIVATION_TIMEOUT = Duration.ofSeconds(3);

    private static final String COPIES_METRIC = "hickorycleat_configuration_copies_sent_total ";

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final NettyHttpClient mHttpClient = new NettyHttpClient(mEventLoops);
    private final StoreStandIn mStore = new StoreStandIn();
    private final InetSocketAddress mStoreAddress = address();
    private final List<NodeSettings> mEntries = new ArrayList<>();
    private final List<Lifecycle> mProcesses = new ArrayList<>();

    @BeforeEach
    void startStore() throws InterruptedException {
        new NettyHttpServer(mEventLoops).listen(mStoreAddress, mStore);
    }

    @AfterEach
    void stopFleet() throws InterruptedException {
        mProcesses.forEach(Lifecycle::close);
        // Lets the stand-ins respond to requests in flight.
        TimeUnit.MILLISECONDS.sleep(300);
        mEventLoops.shutdownGracefully(1, 10, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    }

    /** Returns a configuration whose last queue accepts jobs for the host {@code host}. */
    private static String configuration(int version, int queues, String host) {
        StringBuilder routes = new StringBuilder();
        for (int i = 0; i < queues; i++) {
            String name = i == queues - 1 ? host : "queue-" + i + ".example";
            routes.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"queue-with-a-long-name-")
                    .append(i)
                    .append("\",\"host\":\"")
                    .append(name)
                    .append("\",\"path_prefix\":\"/jobs/\",\"service\":\"booking\",")
                    .append("\"timeout_ms\":3000,\"max_attempts\":2,\"stretch\":1.5}");
        }
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + routes
                + "],\"services\":[{\"name\":\"booking\",\"enforces_capacity\":true}],"
                + "\"limits\":{\"max_body_bytes\":100000}}";
    }

    private void startEntry(InetSocketAddress store) throws InterruptedException {
        List<InetSocketAddress> seeds =
                mEntries.isEmpty() ? List.of() : List.of(mEntries.get(0).linkAddress());
        NodeSettings settings =
                new NodeSettings(
                        new ProcessId("entry-" + mEntries.size()),
                        new ZoneId("north"),
                        Optional.of(address()),
                        Optional.of(address()),
                        Optional.empty(),
                        address(),
                        address(),
                        Optional.empty(),
                        Optional.empty(),
                        seeds,
                        1_000,
                        1,
                        OptionalLong.empty(),
                        store,
                        262_144,
                        Optional.empty(),
                        10_000,
                        1_000,
                        400,
                        120_000,
                        4_000,
                        1);
        Lifecycle process = FleetProcessFactory.create(settings);
        process.start();
        mEntries.add(settings);
        mProcesses.add(process);
    }

    private void startEntries() throws InterruptedException {
        for (int i = 0; i < ENTRIES; i++) {
            startEntry(mStoreAddress);
        }
        for (int i = 0; i < ENTRIES; i++) {
            awaitReady(i);
        }
    }

    private void awaitReady(int entry) {
        InetSocketAddress address = mEntries.get(entry).readinessAddress().orElseThrow();
        Awaitility.await("entry " + entry)
                .atMost(START_TIMEOUT)
                .until(() -> call(address, "GET", "/ready", "h.example", "").status() == 200);
    }

    private HttpResponse call(
            InetSocketAddress address, String method, String path, String host, String body) {
        return mHttpClient
                .call(
                        new HttpCall(
                                address,
                                method,
                                path,
                                Map.of("Host", host),
                                body.getBytes(StandardCharsets.UTF_8),
                                3_000))
                .onErrorReturnItem(HttpResponse.of(0, new byte[0]))
                .blockingGet();
    }

    private int submit(int entry, String job, String host) {
        InetSocketAddress address = mEntries.get(entry).callerAddress().orElseThrow();
        return call(address, "POST", "/jobs/" + job, host, FleetExamples.JOB).status();
    }

    private long copiesSent() {
        return mEntries.stream()
                .map(entry -> call(entry.adminAddress(), "GET", "/metrics", "h.example", ""))
                .flatMap(metrics -> new String(metrics.body(), StandardCharsets.UTF_8).lines())
                .filter(line -> line.startsWith(COPIES_METRIC))
                .mapToLong(
                        line -> (long) Double.parseDouble(line.substring(COPIES_METRIC.length())))
                .sum();
    }

    /** Guards against copies that fill the link of a peer that receives more slowly. */
    @Test
    void sendsFewCopiesToPeerWhoseHeartbeatsStayBehind() throws Exception {
        mStore.put("keyed.op", "config", configuration(7, 3_000, "h.example"));
        startEntries();

        List<SlowPeer> peers = new ArrayList<>();
        for (NodeSettings entry : mEntries) {
            peers.add(new SlowPeer(entry.linkAddress(), 100_000));
        }
        TimeUnit.SECONDS.sleep(3);
        long copies = copiesSent();
        for (SlowPeer peer : peers) {
            peer.close();
        }

        assertThat(copies).isLessThanOrEqualTo(ENTRIES);
    }

    /** Guards against a configuration that no peer can send because it exceeds a frame. */
    @Test
    void entryCutOffFromStoreActivatesConfigurationLargerThanFrame() throws Exception {
        mStore.put("keyed.op", "config", FleetExamples.CONFIGURATION);
        startEntries();
        startEntry(address());
        awaitReady(ENTRIES);

        String large = configuration(8, 8_000, "new.example");
        assertThat(large.length()).isGreaterThan(MessageCodec.MAXIMUM_FRAME_BYTES);
        mStore.put("keyed.op", "config", large);

        Awaitility.await()
                .atMost(ACTIVATION_TIMEOUT)
                .until(() -> submit(ENTRIES, "00000000000000a1", "new.example") == 200);
        // Each entry requests at most one copy of each of the two versions.
        assertThat(copiesSent()).isBetween(1L, 2L * (ENTRIES + 1));
    }

    /** Guards against an entry without the store that keeps an old configuration. */
    @Test
    void entryCutOffFromStoreActivatesNewConfiguration() throws Exception {
        mStore.put("keyed.op", "config", FleetExamples.CONFIGURATION);
        startEntries();
        startEntry(address());
        awaitReady(ENTRIES);

        mStore.put("keyed.op", "config", configuration(8, 3_000, "new.example"));

        Awaitility.await()
                .atMost(ACTIVATION_TIMEOUT)
                .until(() -> submit(ENTRIES, "00000000000000a1", "new.example") == 200);
    }
}
