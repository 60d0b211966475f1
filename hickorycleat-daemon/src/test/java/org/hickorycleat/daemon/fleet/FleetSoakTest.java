package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.awaitility.Awaitility;
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

    private final ProcessFleet mFleet = new ProcessFleet(ENTRIES);
    private final Set<String> mAcceptedJobs = new LinkedHashSet<>();
    private final Set<String> mRejectedJobs = new LinkedHashSet<>();

    @AfterEach
    void stopFleet() throws Exception {
        mFleet.stop();
    }

    /** Submits a job, and retries it once at a random entry unless it is accepted. */
    private void submit(String job, Random random) {
        boolean unknown = false;
        for (int attempt = 0; attempt < 2; attempt++) {
            InetSocketAddress entry = mFleet.callerAddresses().get(random.nextInt(ENTRIES));
            int status = mFleet.call(entry, "POST", "/jobs/" + job, FleetExamples.JOB).status();
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
        NodeProcess process = mFleet.processes().get(node);
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
                ProcessFleet.sleep(durationMs);
                process.signal("CONT");
            }
            case 3 ->
                    disturb(
                            List.of(mFleet.storeProxies().get(node)),
                            FaultyProxy.Mode.STALL,
                            durationMs);
            case 4 ->
                    disturb(
                            List.of(mFleet.storeProxies().get(node)),
                            FaultyProxy.Mode.RESET,
                            durationMs);
            case 5 -> disturb(mFleet.storeProxies(), FaultyProxy.Mode.DROP_RESPONSES, durationMs);
            default -> mFleet.workers().get(random.nextInt(AGENTS)).restart();
        }
    }

    private static void disturb(List<FaultyProxy> proxies, FaultyProxy.Mode mode, long durationMs) {
        proxies.forEach(proxy -> proxy.setMode(mode));
        ProcessFleet.sleep(durationMs);
        proxies.forEach(proxy -> proxy.setMode(FaultyProxy.Mode.PASS));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void runsNoTaskTwiceAndCompletesAcceptedJobsUnderRandomFaults(
            long seed, @TempDir(cleanup = CleanupMode.ON_SUCCESS) Path directory) throws Exception {
        mFleet.start(directory, AGENTS, START_TIMEOUT);
        Random random = new Random(seed);
        int jobs = 0;
        for (int i = 0; i < FAULTS; i++) {
            for (int j = 0; j < JOBS_BEFORE_FAULT; j++) {
                submit(String.format("%016x", ++jobs), random);
            }
            injectFault(random);
        }
        for (String job : mAcceptedJobs) {
            Awaitility.await(job).atMost(COMPLETION_TIMEOUT).until(() -> mFleet.isCompleted(job));
        }

        assertThat(mFleet.history().violations()).as("logs are in %s", directory).isEmpty();
        assertThat(mRejectedJobs).noneMatch(mFleet.history()::hasStarted);
        assertThat(mAcceptedJobs).isNotEmpty();
    }
}
