package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.node.NodeSettings;
import org.hickorycleat.model.store.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs two entries and an agent on loopback against stand-ins of the store and the worker. */
class FleetPathTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** Time without any run after which a long-running task counts as lost. */
    private static final Duration LONG_RUNNING_TASK_TIMEOUT = Duration.ofSeconds(9);

    /** Time for which an owner has owned the jobs before it is lost, in milliseconds. */
    private static final long OWNERSHIP_MS = 7_000;

    /** Time within which an entry reads a claim, in milliseconds; twice its poll interval. */
    private static final long CLAIM_READ_TIME_MS = 1_000;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final NettyHttpClient mHttpClient = new NettyHttpClient(mEventLoops);
    private final StoreStandIn mStore = new StoreStandIn();
    private final WorkerStandIn mWorker = new WorkerStandIn();
    private final List<NodeSettings> mEntries = new ArrayList<>();
    private final List<Lifecycle> mProcesses = new ArrayList<>();
    private NodeSettings mAgent;
    private long mSequence;

    @BeforeEach
    void startFleet() throws Exception {
        InetSocketAddress store = LoopbackNodes.address();
        InetSocketAddress worker = LoopbackNodes.address();
        new NettyHttpServer(mEventLoops).listen(store, mStore);
        new NettyHttpServer(mEventLoops).listen(worker, mWorker);
        mStore.put("keyed.op", "config", FleetExamples.CONFIGURATION);
        mEntries.add(LoopbackNodes.settings("entry-1", store, Optional.empty(), List.of()));
        List<InetSocketAddress> seeds = List.of(mEntries.get(0).linkAddress());
        mEntries.add(LoopbackNodes.settings("entry-2", store, Optional.empty(), seeds));
        mAgent = LoopbackNodes.settings("agent-1", store, Optional.of(worker), seeds);
        for (NodeSettings settings : List.of(mEntries.get(0), mEntries.get(1), mAgent)) {
            Lifecycle process = FleetProcessFactory.create(settings);
            process.start();
            mProcesses.add(process);
        }
        Awaitility.await().atMost(TIMEOUT).until(() -> isReady(0) && isReady(1));
    }

    @AfterEach
    void stopFleet() throws InterruptedException {
        mProcesses.forEach(Lifecycle::close);
        // Lets the stand-ins respond to requests in flight.
        TimeUnit.MILLISECONDS.sleep(300);
        mEventLoops.shutdownGracefully(1, 10, TimeUnit.SECONDS).syncUninterruptibly();
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
        announceWorker();
        InetSocketAddress address = mEntries.get(entry).readinessAddress().orElseThrow();
        return call(address, "GET", "/ready", "").status() == 200;
    }

    private void announceWorker() {
        announceWorker(mAgent, "i-1", mWorker);
    }

    private void announceWorker(NodeSettings agent, String id, WorkerStandIn worker) {
        mSequence++;
        call(
                agent.workerHeartbeatAddress().orElseThrow(),
                "POST",
                "/instances/" + id + "/heartbeat",
                worker.heartbeat(mSequence));
    }

    private HttpResponse callJobs(int entry, String method, String job, String body) {
        InetSocketAddress address = mEntries.get(entry).callerAddress().orElseThrow();
        return call(address, method, "/jobs/" + job, body);
    }

    private String state(int entry, String job) {
        announceWorker();
        return new String(callJobs(entry, "GET", job, "").body(), StandardCharsets.UTF_8);
    }

    private void awaitCompleted(int entry, String job) {
        Awaitility.await().atMost(TIMEOUT).until(() -> state(entry, job).contains("\"completed\""));
    }

    @Test
    void completesJobSubmittedToAnyEntry() {
        assertThat(callJobs(0, "POST", "00000000000000a1", FleetExamples.JOB).status())
                .isEqualTo(200);
        assertThat(callJobs(1, "POST", "00000000000000a2", FleetExamples.JOB).status())
                .isEqualTo(200);

        awaitCompleted(1, "00000000000000a1");
        awaitCompleted(0, "00000000000000a2");
        assertThat(mWorker.starts()).hasSize(10);
        assertThat(new HashSet<>(mWorker.starts())).hasSize(10);
    }

    @Test
    void runsJobOnceWhenSubmittedToBothEntries() {
        callJobs(0, "POST", "00000000000000b1", FleetExamples.JOB);
        callJobs(1, "POST", "00000000000000b1", FleetExamples.JOB);

        awaitCompleted(0, "00000000000000b1");
        assertThat(mWorker.starts()).hasSize(5);
    }

    @Test
    void reportsUnknownJobAsGone() {
        assertThat(callJobs(0, "GET", "00000000000000c1", "").status()).isEqualTo(410);
    }

    @Test
    void rejectsJobsImmediatelyWhileStoreIsDownAndRecovers() {
        mStore.setDown(true);
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(
                        () ->
                                callJobs(0, "POST", "00000000000000d1", FleetExamples.JOB).status()
                                        == 503);
        long startNanos = System.nanoTime();
        HttpResponse rejection = callJobs(0, "POST", "00000000000000d2", FleetExamples.JOB);
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(rejection.status()).isEqualTo(503);
        assertThat(elapsedMs).isLessThan(1_500);

        mStore.setDown(false);

        Awaitility.await()
                .atMost(TIMEOUT)
                .until(
                        () ->
                                callJobs(0, "POST", "00000000000000d3", FleetExamples.JOB).status()
                                        == 200);
        awaitCompleted(1, "00000000000000d3");
        assertThat(mWorker.starts()).hasSize(5);
    }

    @Test
    void handsOverOwnershipWhenEntryDrains() {
        callJobs(0, "POST", "00000000000000e1", FleetExamples.JOB);
        awaitCompleted(1, "00000000000000e1");
        mProcesses.get(0).drain();

        callJobs(1, "POST", "00000000000000e2", FleetExamples.JOB);

        awaitCompleted(1, "00000000000000e2");
        assertThat(new HashSet<>(mWorker.starts())).hasSize(mWorker.starts().size());
    }

    private boolean hasConfiguration(int entry) {
        return callJobs(entry, "GET", "", "").status() == 200;
    }

    // Returns after the other entries have read the claim.
    private void putClaim(NodeSettings owner, Epoch epoch) throws InterruptedException {
        FleetNode node =
                new FleetNode(
                        owner.process(),
                        ProcessRole.ENTRY,
                        owner.zone(),
                        owner.linkAddress().getAddress().getHostAddress(),
                        owner.linkAddress().getPort(),
                        owner.processorShareMilli(),
                        0);
        StoreRecord claim = new JobLogCodec().encode(new JobRecord.Claimed(node, epoch));
        mStore.put(JobLogCodec.JOBS_TOPIC, claim.key(), claim.value());
        TimeUnit.MILLISECONDS.sleep(CLAIM_READ_TIME_MS);
    }

    @Test
    void takesOverWhenNamedOwnerCannotLoadJobs() throws Exception {
        FaultyProxy storePath = new FaultyProxy(mEntries.get(0).storeAddress());
        storePath.setMode(FaultyProxy.Mode.STALL);
        mStore.rejectNewestReads(JobLogCodec.JOBS_TOPIC);
        NodeSettings named =
                LoopbackNodes.settings(
                        "entry-3",
                        storePath.address(),
                        Optional.empty(),
                        List.of(mEntries.get(0).linkAddress(), mEntries.get(1).linkAddress()));
        mEntries.add(named);
        Lifecycle process = FleetProcessFactory.create(named);
        process.start();
        mProcesses.add(process);
        Awaitility.await().atMost(TIMEOUT).until(() -> hasConfiguration(2));

        putClaim(named, new Epoch(1L << 40));

        assertThat(callJobs(0, "POST", "00000000000000f1", FleetExamples.JOB).status())
                .isEqualTo(200);
        awaitCompleted(1, "00000000000000f1");
        assertThat(mWorker.starts()).hasSize(5);
        storePath.close();
    }

    /** Guards against a long-running task that waits for a lease that nobody can have extended. */
    @Test
    void restartsTaskOfLostWorkerSoonAfterItsOwnerIsLost() throws Exception {
        callJobs(0, "POST", "0000000000000001", FleetExamples.PERPETUAL_JOB);
        Awaitility.await().atMost(TIMEOUT).until(() -> mWorker.starts().size() == 1);
        WorkerStandIn otherWorker = new WorkerStandIn();
        InetSocketAddress otherWorkerAddress = LoopbackNodes.address();
        new NettyHttpServer(mEventLoops).listen(otherWorkerAddress, otherWorker);
        NodeSettings otherAgent =
                LoopbackNodes.settings(
                        "agent-2",
                        mEntries.get(0).storeAddress(),
                        Optional.of(otherWorkerAddress),
                        List.of(mEntries.get(1).linkAddress()));
        // An entry that hears no other entry claims later.
        NodeSettings thirdEntry =
                LoopbackNodes.settings(
                        "entry-3",
                        mEntries.get(0).storeAddress(),
                        Optional.empty(),
                        List.of(mEntries.get(1).linkAddress()));
        for (NodeSettings settings : List.of(otherAgent, thirdEntry)) {
            Lifecycle process = FleetProcessFactory.create(settings);
            process.start();
            mProcesses.add(process);
        }
        TimeUnit.MILLISECONDS.sleep(OWNERSHIP_MS);

        mProcesses.get(2).close();
        mProcesses.get(0).close();

        Awaitility.await()
                .atMost(LONG_RUNNING_TASK_TIMEOUT)
                .until(
                        () -> {
                            announceWorker(otherAgent, "i-2", otherWorker);
                            return !otherWorker.starts().isEmpty();
                        });
        assertThat(otherWorker.starts()).hasSize(1);
    }
}
