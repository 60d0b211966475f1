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
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.model.node.NodeSettings;
import org.hickorycleat.platform.NodeSettingsReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs entries and an agent on loopback while the operator evacuates the zone of its worker. */
class EvacuationPathTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final long QUIET_MS = 2_000;
    private static final String LIMITS = "{\"cpu_share\":0.36,\"cores\":1,\"link_mbps\":10.0}";
    private static final int FIRST_ENTRY = 20;
    private static final int SECOND_ENTRY = 21;
    private static final int AGENT = 22;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final NettyHttpClient mHttpClient = new NettyHttpClient(mEventLoops);
    private final StoreStandIn mStore = new StoreStandIn();
    private final WorkerStandIn mWorker = new WorkerStandIn();
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

    private void startEntry(int node) throws InterruptedException {
        String listen =
                "{\"front\":"
                        + text(address(node, mCallerPort))
                        + ",\"ready\":"
                        + text(address(node, mReadinessPort))
                        + "}";
        startProcess(node, listen, "");
    }

    private void startAgent() throws InterruptedException {
        String listen = "{\"control\":" + text(address(AGENT, mReadinessPort)) + "}";
        String worker = "\"app\":" + text(mWorkerAddress) + ",\"service\":\"booking\",";
        startProcess(AGENT, listen, worker);
    }

    private void startProcess(int node, String listen, String worker) throws InterruptedException {
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
                        + text(address(FIRST_ENTRY, mReadinessPort))
                        + "],\"limits\":"
                        + LIMITS
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
        Awaitility.await(job).atMost(TIMEOUT).until(() -> isCompleted(entry, job));
    }

    private boolean isCompleted(int entry, String job) {
        announceWorker();
        HttpResponse response = call(address(entry, mCallerPort), "GET", "/jobs/" + job, "");
        return new String(response.body(), StandardCharsets.UTF_8).contains("\"completed\"");
    }

    private void evacuate(String zone) {
        mStore.put("keyed.op", "evacuate/" + zone, "{}");
    }

    private void takeBack(String zone) {
        mStore.put("keyed.op", "evacuate/" + zone, "");
    }

    private void startFleet() throws InterruptedException {
        startEntry(FIRST_ENTRY);
        startAgent();
        Awaitility.await().atMost(TIMEOUT).until(() -> isReady(FIRST_ENTRY));
    }

    private void assertNoStart() throws InterruptedException {
        int before = mWorker.starts().size();
        for (long passed = 0; passed < QUIET_MS; passed += 200) {
            announceWorker();
            TimeUnit.MILLISECONDS.sleep(200);
        }
        assertThat(mWorker.starts()).hasSize(before);
    }

    @Test
    void startsNothingUntilZoneIsTakenBack() throws InterruptedException {
        startFleet();
        submit(FIRST_ENTRY, "0000000000000001");
        awaitCompleted(FIRST_ENTRY, "0000000000000001");

        evacuate("north");
        TimeUnit.MILLISECONDS.sleep(500);
        submit(FIRST_ENTRY, "0000000000000002");
        assertNoStart();

        takeBack("north");
        awaitCompleted(FIRST_ENTRY, "0000000000000002");
    }

    @Test
    void goesOnWhileAnotherZoneIsEvacuated() throws InterruptedException {
        evacuate("south");
        startFleet();

        submit(FIRST_ENTRY, "0000000000000001");
        awaitCompleted(FIRST_ENTRY, "0000000000000001");
    }

    /** Guards against an entry that becomes the owner without the request that it never saw. */
    @Test
    void keepsZoneEvacuatedUnderNextOwner() throws InterruptedException {
        evacuate("north");
        startFleet();
        submit(FIRST_ENTRY, "0000000000000001");
        startEntry(SECOND_ENTRY);
        Awaitility.await().atMost(TIMEOUT).until(() -> isReady(SECOND_ENTRY));

        mProcesses.get(0).close();
        submit(SECOND_ENTRY, "0000000000000002");
        assertNoStart();
        assertThat(mWorker.starts()).isEmpty();

        takeBack("north");
        awaitCompleted(SECOND_ENTRY, "0000000000000001");
        awaitCompleted(SECOND_ENTRY, "0000000000000002");
    }

    /** Guards against an owner with the configuration of a peer that cannot read the requests. */
    @Test
    void startsNothingBeforeRequestsWereRead() throws InterruptedException {
        startFleet();
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> mStore.newestRecord("keyed.jobs", "owner").isPresent());
        evacuate("north");
        mStore.rejectNewestReads("keyed.op");
        startEntry(SECOND_ENTRY);
        Awaitility.await().atMost(TIMEOUT).until(() -> isReady(SECOND_ENTRY));

        mProcesses.get(0).close();
        submit(SECOND_ENTRY, "0000000000000002");
        assertNoStart();
        takeBack("north");
        assertNoStart();

        mStore.acceptNewestReads();
        awaitCompleted(SECOND_ENTRY, "0000000000000002");
    }
}
