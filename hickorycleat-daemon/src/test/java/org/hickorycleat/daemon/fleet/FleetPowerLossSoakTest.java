package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.LongStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Injects faults that overlap into real processes, and cuts the power of the whole fleet while one
 * entry's path to the store stays faulty. A configuration that is published afterwards has to be in
 * force in time.
 *
 * <p>The system properties {@code soak.seeds} (separated by commas), {@code soak.entries}, {@code
 * soak.agents}, {@code soak.faults}, {@code soak.callers} and {@code soak.perpetual} set its size.
 */
class FleetPowerLossSoakTest {
    private static final String DEFAULT_SEEDS = "1,2";
    private static final int ENTRIES = Integer.getInteger("soak.entries", 3);
    private static final int AGENTS = Integer.getInteger("soak.agents", 3);
    private static final int FAULTS = Integer.getInteger("soak.faults", 4);
    private static final int CALLERS = Integer.getInteger("soak.callers", 3);
    private static final int PERPETUAL_JOBS = Integer.getInteger("soak.perpetual", 3);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(45);
    private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(60);

    /** Time for which long-running tasks are observed, and cancelled ones must have ended. */
    private static final Duration OBSERVATION_TIME = Duration.ofSeconds(2);

    /** Time after the last fault from which a configuration has to be in force in time. */
    private static final long STABLE_MS = 3_000;

    /** Time within which a configuration has to be in force in every entry. */
    private static final Duration CONFIGURATION_TIMEOUT = Duration.ofSeconds(2);

    private final ProcessFleet mFleet = new ProcessFleet(ENTRIES);
    private final FleetCallers mCallers = new FleetCallers(mFleet);
    private final ExecutorService mFaultThreads = Executors.newCachedThreadPool();

    static LongStream seeds() {
        return Arrays.stream(System.getProperty("soak.seeds", DEFAULT_SEEDS).split(","))
                .mapToLong(Long::parseLong);
    }

    @AfterEach
    void stopFleet() throws Exception {
        mFaultThreads.shutdownNow();
        mCallers.stop();
        mFleet.stop();
    }

    private void injectRound(FleetFaultInjector injector, List<FleetFault> round) throws Exception {
        List<CompletableFuture<Void>> overlapping = new ArrayList<>();
        for (FleetFault fault : round) {
            if (fault.kind() != FleetFault.Kind.POWER_LOSS) {
                overlapping.add(
                        CompletableFuture.runAsync(() -> inject(injector, fault), mFaultThreads));
            }
        }
        for (FleetFault fault : round) {
            if (fault.kind() == FleetFault.Kind.POWER_LOSS) {
                injector.losePower(fault);
                overlapping.forEach(CompletableFuture::join);
                awaitPerpetualJobsRun("with a faulty path to the store after " + fault);
                injector.restoreStorePaths();
            }
        }
        overlapping.forEach(CompletableFuture::join);
    }

    private static void inject(FleetFaultInjector injector, FleetFault fault) {
        try {
            injector.inject(fault);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(fault.toString(), e);
        }
    }

    private boolean perpetualJobsRunOnce() {
        return mCallers.perpetual().stream().allMatch(job -> mFleet.history().activeRuns(job) == 1);
    }

    private void awaitPerpetualJobsRun(String when) {
        Awaitility.await("long-running tasks run " + when)
                .atMost(RECOVERY_TIMEOUT)
                .until(this::perpetualJobsRunOnce);
    }

    private List<Integer> statusLineCounts() throws IOException {
        List<Integer> counts = new ArrayList<>();
        for (NodeProcess entry : mFleet.entries()) {
            counts.add(statusLines(entry).size());
        }
        return counts;
    }

    private static List<String> statusLines(NodeProcess entry) throws IOException {
        return entry.logLines().stream()
                .filter(line -> line.contains("event=ownership_status"))
                .toList();
    }

    private boolean exactlyOneEntrySchedulesSince(List<Integer> counts) throws IOException {
        int scheduling = 0;
        for (int i = 0; i < ENTRIES; i++) {
            List<String> lines = statusLines(mFleet.entries().get(i));
            if (lines.size() <= counts.get(i)) {
                return false;
            }
            scheduling += lines.get(lines.size() - 1).contains("scheduling=true") ? 1 : 0;
        }
        return scheduling == 1;
    }

    private void awaitConfigurationInForce(FleetFaultInjector injector) {
        ProcessFleet.sleep(STABLE_MS);
        String path = injector.publishQueue();
        Awaitility.await("configuration is in force in every entry")
                .atMost(CONFIGURATION_TIMEOUT)
                .until(
                        () ->
                                mFleet.callerAddresses().stream()
                                        .map(entry -> mFleet.call(entry, "GET", path, ""))
                                        .allMatch(response -> response.status() == 200));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void schedulesAfterOverlappingFaultsAndPowerLoss(
            long seed, @TempDir(cleanup = CleanupMode.ON_SUCCESS) Path directory) throws Exception {
        mFleet.start(directory, AGENTS, START_TIMEOUT);
        Random random = new Random(seed);
        List<List<FleetFault>> rounds = FleetFault.drawRounds(random, FAULTS);
        FleetFaultInjector injector = new FleetFaultInjector(mFleet);
        for (int i = 0; i < PERPETUAL_JOBS; i++) {
            mCallers.startPerpetualJob(random);
        }
        awaitPerpetualJobsRun("before the faults");
        mCallers.start(CALLERS, seed);

        for (List<FleetFault> round : rounds) {
            injectRound(injector, round);
        }
        injector.restoreStorePaths();
        mCallers.stop();
        awaitConfigurationInForce(injector);
        List<Integer> statusLineCounts = statusLineCounts();

        for (String job : mCallers.accepted()) {
            Awaitility.await("job " + job + " is completed, logs are in " + directory)
                    .atMost(COMPLETION_TIMEOUT)
                    .until(() -> mFleet.isCompleted(job));
        }
        Awaitility.await("exactly one entry schedules, logs are in " + directory)
                .atMost(RECOVERY_TIMEOUT)
                .until(() -> exactlyOneEntrySchedulesSince(statusLineCounts));
        Awaitility.await("jobs run unless they are cancelled, logs are in " + directory)
                .during(OBSERVATION_TIME)
                .atMost(RECOVERY_TIMEOUT)
                .until(
                        () ->
                                perpetualJobsRunOnce()
                                        && mCallers.cancelled().stream()
                                                .allMatch(
                                                        job ->
                                                                mFleet.history().activeRuns(job)
                                                                        == 0));
        assertThat(mFleet.history().violations()).as("logs are in %s", directory).isEmpty();
        assertThat(injector.violations()).as("logs are in %s", directory).isEmpty();
        assertThat(mCallers.rejected()).noneMatch(mFleet.history()::hasStarted);
        assertThat(mCallers.accepted()).isNotEmpty();
    }
}
