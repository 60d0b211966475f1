package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Injects random faults into real processes: kills, stops, suspensions, worker restarts, and
 * failures of the connections to the store.
 *
 * <p>Under every fault, no task runs twice, every accepted job is completed, and a job that was
 * rejected at every attempt never runs.
 */
class FleetSoakTest {
    private static final int ENTRIES = 3;
    private static final int AGENTS = 3;
    private static final int FAULTS = 6;
    private static final int JOBS_BEFORE_FAULT = 4;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(45);
    private static final long HEARTBEAT_INTERVAL_MS = 300;
    private static final long RUN_MS = 1_500;
    private static final long WORK_INTERVAL_MS = 10;
    private static final int CALL_TIMEOUT_MS = 2_500;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final NettyHttpClient mHttpClient = new NettyHttpClient(mEventLoops);
    private final StoreStandIn mStore = new StoreStandIn();
    private final RunHistory mHistory = new RunHistory();
    private final List<WorkerStandIn> mWorkers = new ArrayList<>();
    private final List<InetSocketAddress> mHeartbeatAddresses = new ArrayList<>();
    private final List<InetSocketAddress> mCallerAddresses = new ArrayList<>();
    private final List<FaultyProxy> mStoreProxies = new ArrayList<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private final List<NodeProcess> mProcesses = new ArrayList<>();
    private final Set<String> mAcceptedJobs = new LinkedHashSet<>();
    private final Set<String> mRejectedJobs = new LinkedHashSet<>();
    private volatile boolean mStopped;

    @AfterEach
    void stopFleet() throws Exception {
        mStopped = true;
        for (Thread thread : mThreads) {
            thread.join();
        }
        mProcesses.forEach(NodeProcess::close);
        for (FaultyProxy proxy : mStoreProxies) {
            proxy.close();
        }
        mEventLoops.shutdownGracefully(1, 10, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void startFleet(Path directory) throws IOException, InterruptedException {
        InetSocketAddress store =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
        new NettyHttpServer(mEventLoops).listen(store, mStore);
        mStore.put("keyed.op", "config", FleetExamples.CONFIGURATION);
        int callers = FreePorts.next();
        int readiness = FreePorts.next();
        int links = FreePorts.next();
        int workers = FreePorts.next();
        for (int i = 0; i < ENTRIES + AGENTS; i++) {
            FaultyProxy proxy = new FaultyProxy(store);
            mStoreProxies.add(proxy);
            String host = "127.0.0." + (10 + i);
            boolean isEntry = i < ENTRIES;
            String worker = "";
            if (isEntry) {
                mCallerAddresses.add(new InetSocketAddress(host, callers));
            } else {
                InetSocketAddress address = new InetSocketAddress(host, workers);
                mWorkers.add(new WorkerStandIn(mHistory, RUN_MS));
                new NettyHttpServer(mEventLoops).listen(address, mWorkers.get(i - ENTRIES));
                mHeartbeatAddresses.add(new InetSocketAddress(host, readiness));
                worker = "\"app\":\"" + host + ":" + workers + "\",\"service\":\"booking\",";
            }
            String listen =
                    isEntry
                            ? "{\"front\":\"%1$s:%2$d\",\"ready\":\"%1$s:%3$d\"}"
                            : "{\"control\":\"%1$s:%3$d\"}";
            String settings =
                    "{\"node\":\"node-"
                            + i
                            + "\",\"ip\":\""
                            + host
                            + "\",\"zone\":\"north\","
                            + worker
                            + "\"listen\":"
                            + String.format(listen, host, callers, readiness)
                            + ",\"internal_ports\":["
                            + links
                            + ","
                            + (links + 1)
                            + "],\"seeds\":[\"127.0.0.10:"
                            + readiness
                            + "\"],\"limits\":{\"cpu_share\":0.5},\"platform\":{\"address\":\""
                            + "127.0.0.1:"
                            + proxy.address().getPort()
                            + "\"},\"bounds\":{\"max_hold_ms\":6000,\"stop_grace_ms\":400,"
                            + "\"checkpoint_interval_s\":1,\"status_s\":120,\"impact_ms\":4000}}";
            mProcesses.add(new NodeProcess(directory, "node-" + i, settings));
        }
        startThread(this::announceWorkers);
        startThread(this::runWorkers);
        for (int i = 0; i < ENTRIES; i++) {
            InetSocketAddress ready = new InetSocketAddress("127.0.0." + (10 + i), readiness);
            Awaitility.await()
                    .atMost(START_TIMEOUT)
                    .until(() -> call(ready, "GET", "/ready", "").status() == 200);
        }
    }

    private void startThread(Runnable body) {
        Thread thread = new Thread(body, "workers");
        thread.setDaemon(true);
        thread.start();
        mThreads.add(thread);
    }

    // Tasks end and leases expire even if the worker receives no request.
    private void runWorkers() {
        while (!mStopped) {
            mWorkers.forEach(WorkerStandIn::endDueRuns);
            sleep(WORK_INTERVAL_MS);
        }
    }

    private void announceWorkers() {
        for (long sequence = 1; !mStopped; sequence++) {
            for (int i = 0; i < AGENTS; i++) {
                String path = "/instances/i-" + i + "/heartbeat";
                call(mHeartbeatAddresses.get(i), "POST", path, mWorkers.get(i).heartbeat(sequence));
            }
            sleep(HEARTBEAT_INTERVAL_MS);
        }
    }

    private static void sleep(long milliseconds) {
        try {
            TimeUnit.MILLISECONDS.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
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
                                CALL_TIMEOUT_MS))
                .onErrorReturnItem(HttpResponse.of(0, new byte[0]))
                .blockingGet();
    }

    /** Submits a job, and retries it once at a random entry unless it is accepted. */
    private void submit(String job, Random random) {
        boolean unknown = false;
        for (int attempt = 0; attempt < 2; attempt++) {
            InetSocketAddress entry = mCallerAddresses.get(random.nextInt(ENTRIES));
            int status = call(entry, "POST", "/jobs/" + job, FleetExamples.JOB).status();
            if (status == 200) {
                mAcceptedJobs.add(job);
                return;
            }
            unknown |= status != 503;
        }
        if (!unknown) {
            mRejectedJobs.add(job);
        }
    }

    private void injectFault(Random random) throws Exception {
        int node = random.nextInt(ENTRIES + AGENTS);
        int durationMs = 500 + random.nextInt(2_500);
        NodeProcess process = mProcesses.get(node);
        switch (random.nextInt(7)) {
            case 0 -> {
                process.signal("KILL");
                process.awaitEndAndRestart();
            }
            case 1 -> {
                process.signal("TERM");
                process.awaitEndAndRestart();
            }
            case 2 -> {
                process.signal("STOP");
                sleep(durationMs);
                process.signal("CONT");
            }
            case 3 -> disturb(List.of(mStoreProxies.get(node)), FaultyProxy.Mode.STALL, durationMs);
            case 4 -> disturb(List.of(mStoreProxies.get(node)), FaultyProxy.Mode.RESET, durationMs);
            case 5 -> disturb(mStoreProxies, FaultyProxy.Mode.DROP_RESPONSES, durationMs);
            default -> mWorkers.get(random.nextInt(AGENTS)).restart();
        }
    }

    private static void disturb(List<FaultyProxy> proxies, FaultyProxy.Mode mode, long durationMs) {
        proxies.forEach(proxy -> proxy.setMode(mode));
        sleep(durationMs);
        proxies.forEach(proxy -> proxy.setMode(FaultyProxy.Mode.PASS));
    }

    private boolean isCompleted(String job) {
        return mCallerAddresses.stream()
                .map(entry -> call(entry, "GET", "/jobs/" + job, ""))
                .anyMatch(
                        response ->
                                new String(response.body(), StandardCharsets.UTF_8)
                                        .contains("\"completed\""));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void runsNoTaskTwiceAndCompletesAcceptedJobsUnderRandomFaults(
            long seed, @TempDir(cleanup = CleanupMode.ON_SUCCESS) Path directory) throws Exception {
        startFleet(directory);
        Random random = new Random(seed);
        int jobs = 0;
        for (int i = 0; i < FAULTS; i++) {
            for (int j = 0; j < JOBS_BEFORE_FAULT; j++) {
                submit(String.format("%016x", ++jobs), random);
            }
            injectFault(random);
        }
        for (String job : mAcceptedJobs) {
            Awaitility.await(job).atMost(COMPLETION_TIMEOUT).until(() -> isCompleted(job));
        }

        assertThat(mHistory.violations()).as("logs are in %s", directory).isEmpty();
        assertThat(mRejectedJobs).noneMatch(mHistory::hasStarted);
        assertThat(mAcceptedJobs).isNotEmpty();
    }
}
