package org.hickorycleat.daemon.fleet;

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
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpResponse;

/**
 * Runs entries and agents as processes of their own, with stand-ins of the store and the workers
 * and a faulty path from each process to the store.
 */
final class ProcessFleet {
    private static final long HEARTBEAT_INTERVAL_MS = 300;
    private static final long RUN_MS = 1_500;
    private static final long WORK_INTERVAL_MS = 10;
    private static final int CALL_TIMEOUT_MS = 2_500;
    private static final int EVENT_LOOPS = 3;
    private static final int CLOSE_TIMEOUT_S = 10;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final NettyHttpClient mHttpClient = new NettyHttpClient(mEventLoops);
    private final StoreStandIn mStore = new StoreStandIn();
    private final RunHistory mHistory = new RunHistory();
    private final List<WorkerStandIn> mWorkers = new ArrayList<>();
    private final List<InetSocketAddress> mHeartbeatAddresses = new ArrayList<>();
    private final List<InetSocketAddress> mCallerAddresses = new ArrayList<>();
    private final List<InetSocketAddress> mReadinessAddresses = new ArrayList<>();
    private final List<FaultyProxy> mStoreProxies = new ArrayList<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private final List<NodeProcess> mProcesses = new ArrayList<>();
    private final int mEntryCount;
    private volatile boolean mStopped;

    ProcessFleet(int entries) {
        mEntryCount = entries;
    }

    /** Starts all processes, and returns when the entries are ready. */
    void start(Path directory, int agents, Duration timeout)
            throws IOException, InterruptedException {
        InetSocketAddress store =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
        new NettyHttpServer(mEventLoops).listen(store, mStore);
        mStore.put("keyed.op", "config", FleetExamples.CONFIGURATION);
        int callers = FreePorts.next();
        int readiness = FreePorts.next();
        int links = FreePorts.next();
        int workers = FreePorts.next();
        for (int i = 0; i < mEntryCount + agents; i++) {
            FaultyProxy proxy = new FaultyProxy(store);
            mStoreProxies.add(proxy);
            String host = "127.0.0." + (10 + i);
            boolean isEntry = i < mEntryCount;
            String worker = "";
            if (isEntry) {
                mCallerAddresses.add(new InetSocketAddress(host, callers));
                mReadinessAddresses.add(new InetSocketAddress(host, readiness));
            } else {
                InetSocketAddress address = new InetSocketAddress(host, workers);
                mWorkers.add(new WorkerStandIn(mHistory, RUN_MS));
                new NettyHttpServer(mEventLoops).listen(address, mWorkers.get(i - mEntryCount));
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
        for (int i = 0; i < agents; i++) {
            int worker = i;
            startThread(() -> announceWorker(worker));
        }
        startThread(this::runWorkers);
        for (InetSocketAddress entry : mReadinessAddresses) {
            Awaitility.await()
                    .atMost(timeout)
                    .until(() -> call(entry, "GET", "/ready", "").status() == 200);
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

    private void announceWorker(int worker) {
        String path = "/instances/i-" + worker + "/heartbeat";
        for (long sequence = 1; !mStopped; sequence++) {
            call(
                    mHeartbeatAddresses.get(worker),
                    "POST",
                    path,
                    mWorkers.get(worker).heartbeat(sequence));
            sleep(HEARTBEAT_INTERVAL_MS);
        }
    }

    static void sleep(long milliseconds) {
        try {
            TimeUnit.MILLISECONDS.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Calls a process; returns status 0 if there is no response. */
    HttpResponse call(InetSocketAddress address, String method, String path, String body) {
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

    StoreStandIn store() {
        return mStore;
    }

    RunHistory history() {
        return mHistory;
    }

    List<WorkerStandIn> workers() {
        return mWorkers;
    }

    List<InetSocketAddress> callerAddresses() {
        return mCallerAddresses;
    }

    List<FaultyProxy> storeProxies() {
        return mStoreProxies;
    }

    /** Returns the processes, entries first. */
    List<NodeProcess> processes() {
        return mProcesses;
    }

    List<NodeProcess> entries() {
        return mProcesses.subList(0, mEntryCount);
    }

    /** Returns whether an entry reports the job as completed. */
    boolean isCompleted(String job) {
        return mCallerAddresses.stream()
                .map(entry -> call(entry, "GET", "/jobs/" + job, ""))
                .anyMatch(
                        response ->
                                new String(response.body(), StandardCharsets.UTF_8)
                                        .contains("\"completed\""));
    }

    /** Ends all processes and stand-ins. */
    void stop() throws IOException, InterruptedException {
        mStopped = true;
        for (Thread thread : mThreads) {
            thread.join();
        }
        mProcesses.forEach(NodeProcess::close);
        for (FaultyProxy proxy : mStoreProxies) {
            proxy.close();
        }
        mEventLoops.shutdownGracefully(1, CLOSE_TIMEOUT_S, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
