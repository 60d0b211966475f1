package org.hickorycleat.daemon.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionTimeoutException;
import org.hickorycleat.logic.directory.JobRecord;

/** Injects faults into a fleet; faults of the same process follow each other, others overlap. */
final class FleetFaultInjector {
    private static final int UNUSED_QUEUES = 2_000;
    private static final int CONFIGURATION_CHANGES = 3;
    private static final long CONFIGURATION_INTERVAL_MS = 100;
    private static final long RESTART_INTERVAL_MS = 300;
    private static final long STOP_TIMEOUT_MS = 20_000;
    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(30);
    private static final long[] SLOW_BYTES_PER_SECOND = {400_000, 5_000, 100_000};
    private static final int OWNER_SHARE_PERCENT = 80;
    private static final int PERCENT = 100;
    private static final int REJECTED_READS_SHARE_PERCENT = 75;

    /** Exit codes of a process that was asked to stop: its own, and that of the signal. */
    private static final Set<Integer> STOPPED_EXIT_CODES = Set.of(0, 143);

    private final ProcessFleet mFleet;
    private final List<ReentrantLock> mProcessLocks = new ArrayList<>();
    private final AtomicInteger mConfigurationVersion = new AtomicInteger(100);
    private final List<String> mViolations = Collections.synchronizedList(new ArrayList<>());

    FleetFaultInjector(ProcessFleet fleet) {
        mFleet = fleet;
        fleet.processes().forEach(process -> mProcessLocks.add(new ReentrantLock()));
    }

    /** Returns descriptions of processes that ended by themselves or did not stop as asked. */
    List<String> violations() {
        for (int node = 0; node < mFleet.processes().size(); node++) {
            noteUnexpectedEnd(node);
        }
        return new ArrayList<>(mViolations);
    }

    /** Ends all faults of the paths to the store. */
    void restoreStorePaths() {
        mFleet.store().acceptNewestReads();
        for (FaultyProxy proxy : mFleet.storeProxies()) {
            proxy.setMode(FaultyProxy.Mode.PASS);
            proxy.setBytesPerSecond(Long.MAX_VALUE);
        }
    }

    /** Injects a fault other than a power loss, and returns when it has ended. */
    void inject(FleetFault fault) throws IOException, InterruptedException {
        ProcessFleet.sleep(fault.delayMs());
        int node = fault.target() % mFleet.processes().size();
        FaultyProxy storePath = mFleet.storeProxies().get(node);
        switch (fault.kind()) {
            case KILL, TERMINATE, SUSPEND, RESTART_TWICE -> disturbProcess(node, fault);
            case STALL_STORE_PATH ->
                    disturb(List.of(storePath), FaultyProxy.Mode.STALL, fault.durationMs());
            case RESET_STORE_PATH ->
                    disturb(List.of(storePath), FaultyProxy.Mode.RESET, fault.durationMs());
            case DROP_RESPONSES_OF_ALL ->
                    disturb(
                            mFleet.storeProxies(),
                            FaultyProxy.Mode.DROP_RESPONSES,
                            fault.durationMs());
            case SLOW_STORE_PATH -> {
                storePath.setBytesPerSecond(slowBytesPerSecond(fault));
                ProcessFleet.sleep(fault.durationMs());
                storePath.setBytesPerSecond(Long.MAX_VALUE);
            }
            case SILENCE_STORE_CONNECTIONS -> storePath.silenceOpenConnections();
            case SILENCE_STORE_CONNECTIONS_OF_ALL -> {
                mFleet.storeProxies().forEach(FaultyProxy::silenceOpenConnections);
                changeConfiguration(fault);
            }
            case RESTART_WORKER ->
                    mFleet.workers().get(fault.target() % mFleet.workers().size()).restart();
            case CHANGE_CONFIGURATION -> changeConfiguration(fault);
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private static long slowBytesPerSecond(FleetFault fault) {
        return SLOW_BYTES_PER_SECOND[fault.variant() % SLOW_BYTES_PER_SECOND.length];
    }

    private static void disturb(List<FaultyProxy> proxies, FaultyProxy.Mode mode, long durationMs) {
        proxies.forEach(proxy -> proxy.setMode(mode));
        ProcessFleet.sleep(durationMs);
        proxies.forEach(proxy -> proxy.setMode(FaultyProxy.Mode.PASS));
    }

    private void changeConfiguration(FleetFault fault) {
        for (int i = 0; i < CONFIGURATION_CHANGES; i++) {
            publishConfiguration((fault.variant() + i) % 2 == 0 ? UNUSED_QUEUES + i : i);
            ProcessFleet.sleep(CONFIGURATION_INTERVAL_MS);
        }
    }

    private void publishConfiguration(int unusedQueues) {
        int version = mConfigurationVersion.incrementAndGet();
        mFleet.store()
                .put("keyed.op", "config", FleetExamples.configuration(version, unusedQueues));
    }

    /** Publishes a configuration with a new queue, and returns the path prefix of the queue. */
    String publishQueue() {
        int queue = UNUSED_QUEUES + CONFIGURATION_CHANGES;
        publishConfiguration(queue + 1);
        return "/unused-" + queue + "/";
    }

    private void disturbProcess(int node, FleetFault fault)
            throws IOException, InterruptedException {
        NodeProcess process = mFleet.processes().get(node);
        mProcessLocks.get(node).lock();
        try {
            noteUnexpectedEnd(node);
            switch (fault.kind()) {
                case KILL -> killAndStart(process);
                case TERMINATE -> stopAndStart(node);
                case SUSPEND -> {
                    process.signal("STOP");
                    ProcessFleet.sleep(fault.durationMs());
                    process.signal("CONT");
                }
                default -> {
                    killAndStart(process);
                    ProcessFleet.sleep(RESTART_INTERVAL_MS);
                    noteUnexpectedEnd(node);
                    killAndStart(process);
                }
            }
        } finally {
            mProcessLocks.get(node).unlock();
        }
    }

    private void noteUnexpectedEnd(int node) {
        NodeProcess process = mFleet.processes().get(node);
        if (!process.isAlive()) {
            mViolations.add(
                    "node-" + node + " ended by itself with exit code " + exitCode(process));
        }
    }

    private static OptionalInt exitCode(NodeProcess process) {
        try {
            return process.awaitEnd(0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return OptionalInt.empty();
        }
    }

    private static void killAndStart(NodeProcess process) throws IOException, InterruptedException {
        process.signal("KILL");
        process.awaitEndAndRestart();
    }

    private void stopAndStart(int node) throws IOException, InterruptedException {
        NodeProcess process = mFleet.processes().get(node);
        process.signal("TERM");
        OptionalInt exitCode = process.awaitEnd(STOP_TIMEOUT_MS);
        if (exitCode.isEmpty() || !STOPPED_EXIT_CODES.contains(exitCode.getAsInt())) {
            mViolations.add("node-" + node + " was asked to stop, exit code " + exitCode);
            process.signal("KILL");
        }
        process.awaitEndAndRestart();
    }

    /**
     * Ends all processes and workers at once and starts them again; the path of one entry to the
     * store, mostly that of the named owner, stays stalled or slow until {@link
     * #restoreStorePaths()}. In most cases nobody can read all jobs for it either, as in an
     * overload of the links.
     */
    void losePower(FleetFault fault) throws IOException, InterruptedException {
        ProcessFleet.sleep(fault.delayMs());
        mProcessLocks.forEach(ReentrantLock::lock);
        try {
            endAll();
            ProcessFleet.sleep(fault.durationMs());
            mFleet.workers().forEach(WorkerStandIn::restart);
            int disturbed = disturbedEntry(fault);
            FaultyProxy storePath = mFleet.storeProxies().get(disturbed);
            storePath.setBytesPerSecond(slowBytesPerSecond(fault));
            if (fault.variant() % SLOW_BYTES_PER_SECOND.length != 1) {
                storePath.setMode(FaultyProxy.Mode.STALL);
            }
            List<Integer> loads = new ArrayList<>();
            for (NodeProcess entry : mFleet.entries()) {
                loads.add(jobLoads(entry));
            }
            for (NodeProcess process : mFleet.processes()) {
                process.start();
            }
            if (fault.variant() / PERCENT % PERCENT < REJECTED_READS_SHARE_PERCENT) {
                rejectReadsOfOneEntry(disturbed, loads);
            }
        } finally {
            mProcessLocks.forEach(ReentrantLock::unlock);
        }
    }

    private void endAll() throws IOException, InterruptedException {
        for (int node = 0; node < mFleet.processes().size(); node++) {
            noteUnexpectedEnd(node);
        }
        for (NodeProcess process : mFleet.processes()) {
            process.signal("KILL");
        }
        for (NodeProcess process : mFleet.processes()) {
            if (process.awaitEnd(STOP_TIMEOUT_MS).isEmpty()) {
                throw new IllegalStateException("a killed process did not end in time");
            }
        }
        mFleet.workers().forEach(WorkerStandIn::restart);
    }

    private int disturbedEntry(FleetFault fault) {
        int any = fault.target() % mFleet.entries().size();
        return fault.target() / PERCENT % PERCENT < OWNER_SHARE_PERCENT
                ? namedOwner().orElse(any)
                : any;
    }

    private Optional<Integer> namedOwner() {
        return mFleet.store()
                .newestRecord(JobLogCodec.JOBS_TOPIC, "owner")
                .flatMap(new JobLogCodec()::decode)
                .map(JobRecord.Claimed.class::cast)
                .map(claim -> claim.owner().process().value())
                .map(name -> Integer.parseInt(name.substring("node-".length())));
    }

    // The other entries would relay the reads of this one; what they have loaded they keep.
    private void rejectReadsOfOneEntry(int disturbed, List<Integer> loads) {
        try {
            Awaitility.await()
                    .pollInterval(Duration.ofMillis(5))
                    .atMost(LOAD_TIMEOUT)
                    .until(() -> othersHaveLoaded(disturbed, loads));
        } catch (ConditionTimeoutException e) {
            mViolations.add("entries with an open path to the store did not load the jobs");
            return;
        }
        mFleet.store().rejectNewestReads(JobLogCodec.JOBS_TOPIC);
    }

    private boolean othersHaveLoaded(int disturbed, List<Integer> loads) throws IOException {
        for (int entry = 0; entry < loads.size(); entry++) {
            if (entry != disturbed && jobLoads(mFleet.entries().get(entry)) <= loads.get(entry)) {
                return false;
            }
        }
        return true;
    }

    private static int jobLoads(NodeProcess entry) throws IOException {
        return (int)
                entry.logLines().stream()
                        .filter(line -> line.contains("event=topic_loaded"))
                        .filter(line -> line.contains("topic=" + JobLogCodec.JOBS_TOPIC))
                        .count();
    }
}
