package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.node.NodeSettings;
import org.hickorycleat.model.store.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Silences all open connections of three entries and an agent at once, without closing them, while
 * new connections work.
 */
class SilentFleetTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int ENTRIES = 3;
    private static final int CALL_TIMEOUT_MS = 2_500;
    private static final int SUBMISSION_TIMEOUT_MS = 1_000;
    private static final int QUERY_TIMEOUT_MS = 300;

    /** Time after the fault from which an entry has to have what was published before. */
    private static final long STABLE_MS = 3_000;

    /** Time after its acknowledgement within which a configuration has to be in force. */
    private static final long CONFIGURATION_MS = 2_000;

    /** Time after its acknowledgement within which a cancellation has to end all runs. */
    private static final long CANCELLATION_MS = 3_400;

    /**
     * Time after the fault within which jobs start again: a stable window and the target of 2 s.
     */
    private static final long RECOVERY_MS = STABLE_MS + 2_000;

    private static final long OBSERVED_MS = 6_000;
    private static final int CHANGES = 2;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final SilenceableEventLoops mStandInLoops = new SilenceableEventLoops();
    private final NettyHttpClient mHttpClient = new NettyHttpClient(mEventLoops);
    private final StoreStandIn mStore = new StoreStandIn();
    private final WorkerStandIn mWorker = new WorkerStandIn();
    private final List<NodeSettings> mEntries = new ArrayList<>();
    private final List<Lifecycle> mProcesses = new ArrayList<>();
    private final List<SilenceableEventLoops> mProcessLoops = new ArrayList<>();
    private NodeSettings mAgent;
    private long mSequence;
    private long mAnnouncedAtMs;

    @BeforeEach
    void startFleet() throws Exception {
        InetSocketAddress store = LoopbackNodes.address();
        InetSocketAddress worker = LoopbackNodes.address();
        // A client registers its connections with one event loop, so they are silenced at the
        // server.
        new NettyHttpServer(mStandInLoops).listen(store, mStore);
        new NettyHttpServer(mStandInLoops).listen(worker, mWorker);
        mStore.put("keyed.op", "config", FleetExamples.CONFIGURATION);
        mEntries.add(LoopbackNodes.settings("entry-1", store, Optional.empty(), List.of()));
        List<InetSocketAddress> seeds = List.of(mEntries.get(0).linkAddress());
        for (int i = 2; i <= ENTRIES; i++) {
            mEntries.add(LoopbackNodes.settings("entry-" + i, store, Optional.empty(), seeds));
        }
        mAgent = LoopbackNodes.settings("agent-1", store, Optional.of(worker), seeds);
        for (NodeSettings settings : mEntries) {
            startProcess(settings);
        }
        startProcess(mAgent);
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> mEntries.stream().allMatch(this::isReady) && owner().isPresent());
        submit("0000000000000001", FleetExamples.PERPETUAL_JOB);
        awaitTrue(() -> mWorker.starts().size() == 1, TIMEOUT.toMillis());
    }

    private void startProcess(NodeSettings settings) throws InterruptedException {
        SilenceableEventLoops eventLoops = new SilenceableEventLoops();
        ProcessMetrics metrics = new ProcessMetrics();
        MessageTransport transport = new MessageTransport(eventLoops, metrics.transportMetrics());
        boolean isAgent = settings.workerControlAddress().isPresent();
        FleetNode self =
                new FleetNode(
                        settings.process(),
                        isAgent ? ProcessRole.AGENT : ProcessRole.ENTRY,
                        settings.zone(),
                        settings.linkAddress().getAddress().getHostAddress(),
                        settings.linkAddress().getPort(),
                        settings.processorShareMilli(),
                        System.currentTimeMillis());
        Lifecycle process =
                isAgent
                        ? new AgentRole(
                                settings,
                                self,
                                eventLoops,
                                transport,
                                Schedulers.from(eventLoops),
                                metrics)
                        : new EntryRole(
                                settings,
                                self,
                                eventLoops,
                                transport,
                                Schedulers.from(eventLoops),
                                metrics);
        process.start();
        mProcesses.add(process);
        mProcessLoops.add(eventLoops);
    }

    @AfterEach
    void stopFleet() throws InterruptedException {
        mProcesses.forEach(Lifecycle::close);
        // Lets the stand-ins respond to requests in flight.
        TimeUnit.MILLISECONDS.sleep(300);
        mStandInLoops.shutdownGracefully(1, 10, TimeUnit.SECONDS).syncUninterruptibly();
        mEventLoops.shutdownGracefully(1, 10, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private HttpResponse call(
            InetSocketAddress address, String method, String path, String body, int timeoutMs) {
        return mHttpClient
                .call(
                        new HttpCall(
                                address,
                                method,
                                path,
                                Map.of(
                                        "Host",
                                        "h.example",
                                        "X-Hickorycleat-Deadline-Ms",
                                        String.valueOf(timeoutMs)),
                                body.getBytes(StandardCharsets.UTF_8),
                                timeoutMs))
                .onErrorReturnItem(HttpResponse.of(0, new byte[0]))
                .blockingGet();
    }

    private boolean isReady(NodeSettings entry) {
        announceWorkerIfDue();
        InetSocketAddress address = entry.readinessAddress().orElseThrow();
        return call(address, "GET", "/ready", "", CALL_TIMEOUT_MS).status() == 200;
    }

    private void announceWorkerIfDue() {
        if (nowMs() - mAnnouncedAtMs < 300) {
            return;
        }
        mAnnouncedAtMs = nowMs();
        mSequence++;
        call(
                mAgent.workerHeartbeatAddress().orElseThrow(),
                "POST",
                "/instances/i-1/heartbeat",
                mWorker.heartbeat(mSequence),
                CALL_TIMEOUT_MS);
    }

    private int callEntry(int entry, String method, String path, String body, int timeoutMs) {
        InetSocketAddress address = mEntries.get(entry).callerAddress().orElseThrow();
        return call(address, method, path, body, timeoutMs).status();
    }

    /** Returns the index of the entry that claimed the jobs last. */
    private Optional<Integer> owner() {
        JobLogCodec codec = new JobLogCodec();
        Optional<StoreRecord> claim = mStore.newestRecord(JobLogCodec.JOBS_TOPIC, "owner");
        return claim.flatMap(codec::decode)
                .map(record -> ((JobRecord.Claimed) record).owner().process())
                .flatMap(
                        owner ->
                                mEntries.stream()
                                        .filter(entry -> entry.process().equals(owner))
                                        .map(mEntries::indexOf)
                                        .findFirst());
    }

    private void submit(String job, String body) {
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(
                        () ->
                                mEntries.stream()
                                        .anyMatch(
                                                entry ->
                                                        callEntry(
                                                                        mEntries.indexOf(entry),
                                                                        "POST",
                                                                        "/jobs/" + job,
                                                                        body,
                                                                        SUBMISSION_TIMEOUT_MS)
                                                                == 200));
    }

    private void awaitTrue(Callable<Boolean> condition, long timeoutMs) {
        Awaitility.await()
                .pollInterval(Duration.ofMillis(50))
                .atMost(Duration.ofMillis(timeoutMs))
                .until(
                        () -> {
                            announceWorkerIfDue();
                            return condition.call();
                        });
    }

    private void silenceAll() {
        mProcessLoops.forEach(SilenceableEventLoops::silenceOpenConnections);
        mStandInLoops.silenceOpenConnections();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static List<Long> seeds() {
        List<Long> seeds = new ArrayList<>();
        String range = System.getProperty("silent.seeds", "1-3");
        String[] bounds = range.split("-");
        for (long seed = Long.parseLong(bounds[0]); seed <= Long.parseLong(bounds[1]); seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    private record Change(long atMs, int version) {}

    /** Guards against an older configuration that stays in force after connections went silent. */
    @ParameterizedTest
    @MethodSource("seeds")
    void configurationIsInForceInTimeAfterAllConnectionsWentSilent(long seed) throws Exception {
        Random random = new Random(seed);
        TimeUnit.MILLISECONDS.sleep(random.nextInt(1_000));
        long silentAtMs = nowMs() + 600;
        List<Change> changes = new ArrayList<>();
        for (int i = 1; i <= CHANGES; i++) {
            changes.add(new Change(silentAtMs - 500 + random.nextInt(1_800), i));
        }
        changes.sort(Comparator.comparingLong(Change::atMs));
        List<Long> publishedAtMs = new ArrayList<>();
        Set<String> inForce = new HashSet<>();
        List<String> violations = new ArrayList<>();
        boolean silent = false;
        while (nowMs() < silentAtMs + OBSERVED_MS) {
            announceWorkerIfDue();
            if (!silent && nowMs() >= silentAtMs) {
                silenceAll();
                silent = true;
            }
            int published = publishedAtMs.size();
            if (published < changes.size() && nowMs() >= changes.get(published).atMs()) {
                mStore.put(
                        "keyed.op",
                        "config",
                        FleetExamples.configuration(8 + published, published + 1));
                publishedAtMs.add(nowMs());
            }
            for (int entry = 0; entry < ENTRIES; entry++) {
                for (int i = 0; i < publishedAtMs.size(); i++) {
                    long askedAtMs = nowMs();
                    String path = "/unused-" + i + "/";
                    int status = callEntry(entry, "GET", path, "", QUERY_TIMEOUT_MS);
                    long dueAtMs =
                            Math.max(
                                    publishedAtMs.get(i) + CONFIGURATION_MS,
                                    silentAtMs + STABLE_MS);
                    String answer = "entry " + entry + ", change " + i;
                    boolean late = askedAtMs >= dueAtMs || inForce.contains(answer);
                    if (status == 404 && late) {
                        violations.add(answer + " at " + (askedAtMs - silentAtMs) + " ms");
                    }
                    if (status == 200) {
                        inForce.add(answer);
                    }
                }
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }

        assertThat(violations).isEmpty();
        assertThat(inForce).hasSize(CHANGES * ENTRIES);
    }

    /** Guards against runs of a cancelled job that go on after connections went silent. */
    @ParameterizedTest
    @MethodSource("seeds")
    void cancellationEndsRunsInTimeAfterAllConnectionsWentSilent(long seed) throws Exception {
        Random random = new Random(seed);
        silenceAll();
        TimeUnit.MILLISECONDS.sleep(random.nextInt(1_000));
        int entry = random.nextInt(ENTRIES);
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(
                        () ->
                                callEntry(
                                                entry,
                                                "DELETE",
                                                "/jobs/0000000000000001",
                                                "",
                                                SUBMISSION_TIMEOUT_MS)
                                        == 200);

        awaitTrue(() -> mWorker.running().isEmpty(), CANCELLATION_MS);
    }

    /** Guards against jobs that wait for links which are silent when their owner is lost. */
    @ParameterizedTest
    @MethodSource("seeds")
    void jobsStartSoonAfterLossOfOwnerAndSilenceOfAllConnections(long seed) throws Exception {
        TimeUnit.MILLISECONDS.sleep(new Random(seed).nextInt(1_000));
        long silentAtMs = nowMs();
        silenceAll();
        mProcesses.get(owner().orElseThrow()).close();

        submit("0000000000000002", FleetExamples.JOB);

        awaitTrue(
                () -> mWorker.starts().stream().anyMatch(run -> run.contains("0000000000000002")),
                silentAtMs + RECOVERY_MS - nowMs());
        assertThat(mWorker.starts()).filteredOn(run -> run.contains("0000000000000001")).hasSize(1);
    }
}
