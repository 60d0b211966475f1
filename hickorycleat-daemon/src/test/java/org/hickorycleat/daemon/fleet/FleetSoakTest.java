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
 * Random faults on real processes: kills, stops, freezes, and cuts of the paths to the store.
 *
 * <p>Whatever happens, no task runs twice, every job that was taken is completed, and a job that
 * was refused at every try never runs.
 */
class FleetSoakTest {
    private static final int ENTRIES = 3;
    private static final int AGENTS = 3;
    private static final int FAULTS = 6;
    private static final int JOBS_BEFORE_FAULT = 4;
    private static final Duration START_LIMIT = Duration.ofSeconds(30);
    private static final Duration COMPLETION_LIMIT = Duration.ofSeconds(45);
    private static final long HEARTBEAT_MS = 300;
    private static final long RUN_MS = 1_500;
    private static final long WORK_INTERVAL_MS = 10;
    private static final int CALL_LIMIT_MS = 2_500;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final NettyHttpClient mCaller = new NettyHttpClient(mEventLoops);
    private final StoreStandIn mStore = new StoreStandIn();
    private final RunHistory mHistory = new RunHistory();
    private final List<WorkerStandIn> mWorkers = new ArrayList<>();
    private final List<InetSocketAddress> mHeartbeatAddresses = new ArrayList<>();
    private final List<InetSocketAddress> mCallerAddresses = new ArrayList<>();
    private final List<FaultyProxy> mPaths = new ArrayList<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private final List<NodeProcess> mProcesses = new ArrayList<>();
    private final Set<String> mTaken = new LinkedHashSet<>();
    private final Set<String> mRefused = new LinkedHashSet<>();
    private volatile boolean mEnded;

    @AfterEach
    void stopFleet() throws Exception {
        mEnded = true;
        for (Thread thread : mThreads) {
            thread.join();
        }
        mProcesses.forEach(NodeProcess::close);
        for (FaultyProxy path : mPaths) {
            path.close();
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
            FaultyProxy path = new FaultyProxy(store);
            mPaths.add(path);
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
                            + path.address().getPort()
                            + "\"},\"bounds\":{\"max_hold_ms\":6000,\"stop_grace_ms\":400,"
                            + "\"checkpoint_interval_s\":1,\"status_s\":120,\"impact_ms\":4000}}";
            mProcesses.add(new NodeProcess(directory, "node-" + i, settings));
        }
        background(this::announceWorkers);
        background(this::runWorkers);
        for (int i = 0; i < ENTRIES; i++) {
            InetSocketAddress ready = new InetSocketAddress("127.0.0." + (10 + i), readiness);
            Awaitility.await()
                    .atMost(START_LIMIT)
                    .until(() -> call(ready, "GET", "/ready", "").status() == 200);
        }
    }

    private void background(Runnable body) {
        Thread thread = new Thread(body, "workers");
        thread.setDaemon(true);
        thread.start();
        mThreads.add(thread);
    }

    // Tasks end and leases expire also while nobody calls the worker.
    private void runWorkers() {
        while (!mEnded) {
            mWorkers.forEach(WorkerStandIn::finish);
            sleep(WORK_INTERVAL_MS);
        }
    }

    private void announceWorkers() {
        for (long sequence = 1; !mEnded; sequence++) {
            for (int i = 0; i < AGENTS; i++) {
                String path = "/instances/i-" + i + "/heartbeat";
                call(mHeartbeatAddresses.get(i), "POST", path, mWorkers.get(i).heartbeat(sequence));
            }
            sleep(HEARTBEAT_MS);
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
        return mCaller.call(
                        new HttpCall(
                                address,
                                method,
                                path,
                                Map.of("Host", "h.example"),
                                body.getBytes(StandardCharsets.UTF_8),
                                CALL_LIMIT_MS))
                .onErrorReturnItem(HttpResponse.of(0, new byte[0]))
                .blockingGet();
    }

    /** Hands a job in at two entries in turn, as a caller does that gets no answer. */
    private void submit(String job, Random random) {
        boolean unknown = false;
        for (int attempt = 0; attempt < 2; attempt++) {
            InetSocketAddress entry = mCallerAddresses.get(random.nextInt(ENTRIES));
            int status = call(entry, "POST", "/jobs/" + job, FleetExamples.JOB).status();
            if (status == 200) {
                mTaken.add(job);
                return;
            }
            unknown |= status != 503;
        }
        if (!unknown) {
            mRefused.add(job);
        }
    }

    private void fault(Random random) throws Exception {
        int node = random.nextInt(ENTRIES + AGENTS);
        int lengthMs = 500 + random.nextInt(2_500);
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
                sleep(lengthMs);
                process.signal("CONT");
            }
            case 3 -> cut(List.of(mPaths.get(node)), FaultyProxy.Mode.SILENT, lengthMs);
            case 4 -> cut(List.of(mPaths.get(node)), FaultyProxy.Mode.RESET, lengthMs);
            case 5 -> cut(mPaths, FaultyProxy.Mode.LOSE_ANSWERS, lengthMs);
            default -> mWorkers.get(random.nextInt(AGENTS)).restart();
        }
    }

    private static void cut(List<FaultyProxy> paths, FaultyProxy.Mode mode, long lengthMs) {
        paths.forEach(path -> path.setMode(mode));
        sleep(lengthMs);
        paths.forEach(path -> path.setMode(FaultyProxy.Mode.PASS));
    }

    private boolean isCompleted(String job) {
        return mCallerAddresses.stream()
                .map(entry -> call(entry, "GET", "/jobs/" + job, ""))
                .anyMatch(
                        answer ->
                                new String(answer.body(), StandardCharsets.UTF_8)
                                        .contains("\"completed\""));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void keepsItsPromisesUnderRandomFaults(
            long seed, @TempDir(cleanup = CleanupMode.ON_SUCCESS) Path directory) throws Exception {
        startFleet(directory);
        Random random = new Random(seed);
        int jobs = 0;
        for (int i = 0; i < FAULTS; i++) {
            for (int j = 0; j < JOBS_BEFORE_FAULT; j++) {
                submit(String.format("%016x", ++jobs), random);
            }
            fault(random);
        }
        for (String job : mTaken) {
            Awaitility.await(job).atMost(COMPLETION_LIMIT).until(() -> isCompleted(job));
        }

        assertThat(mHistory.violations()).as("logs are in %s", directory).isEmpty();
        assertThat(mRefused).noneMatch(mHistory::hasStarted);
        assertThat(mTaken).isNotEmpty();
    }
}
