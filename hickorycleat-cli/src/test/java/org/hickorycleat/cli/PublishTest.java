package org.hickorycleat.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.hickorycleat.standins.logservice.LogFaults;
import org.hickorycleat.standins.logservice.LogOutage;
import org.hickorycleat.standins.logservice.LogRetention;
import org.hickorycleat.standins.logservice.LogServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PublishTest {
    private static final LogFaults LOSE_ALL_RESPONSES = new LogFaults(LogOutage.NONE, 0, 1, 0);

    private LogServer mLog = LogServer.start(0, new LogRetention(4, Long.MAX_VALUE), 1);

    private final Path mDirectory;

    PublishTest(@TempDir Path directory) {
        mDirectory = directory;
    }

    @AfterEach
    void stop() {
        mLog.close();
    }

    /** Guards against not reporting the version of a published manifest. */
    @Test
    void acceptedRepeatedAndStaleManifestsAreDistinguished() {
        assertThat(publish(manifest(-1, 1)).output()).isEqualTo("accepted version 0\n");
        assertThat(publish(manifest(-1, 1)).output()).isEqualTo("repeated version 0\n");

        CommandRun stale = publish(manifest(-1, 2));

        assertThat(stale.exitCode()).isEqualTo(7);
        assertThat(stale.output()).isEmpty();
        assertThat(stale.errors())
                .startsWith("error 602 STALE_BASE: ")
                .contains("base is version -1, but the current version is 0");
        assertThat(publish(manifest(-1, 2), "--base", "0").output())
                .isEqualTo("accepted version 1\n");
    }

    /** Guards against reporting a committed publication as failed because its response was lost. */
    @Test
    void publicationWithLostResponseIsLookedUp() {
        mLog.setFaults(LOSE_ALL_RESPONSES);

        assertThat(publish(manifest(-1, 1)).output()).isEqualTo("accepted version 0\n");
        assertThat(publish(manifest(0, 2)).output()).isEqualTo("accepted version 1\n");
    }

    /**
     * Guards against reporting success during an outage, and against waiting until the outage ends.
     */
    @Test
    void outageIsReportedWithPublicationState() {
        mLog.setFaults(new LogFaults(LogOutage.REFUSE, 0, 0, 0));

        CommandRun run = publish(manifest(-1, 1), "--timeout-ms", "200", "--output", "json");

        assertThat(run.exitCode()).isEqualTo(7);
        assertThat(run.errors())
                .contains("\"number\":603", "LOG_UNAVAILABLE", "nothing was published");
    }

    /** Guards against accepting two concurrent publications with the same base. */
    @Test
    void exactlyOneConcurrentPublicationIsAccepted() {
        mLog.close();
        mLog = LogServer.start(0, new LogRetention(1_000, Long.MAX_VALUE), 1);
        mLog.setFaults(new LogFaults(LogOutage.NONE, 20, 0.3, 0));
        List<CompletableFuture<CommandRun>> runs =
                IntStream.range(0, 6)
                        .mapToObj(number -> manifest(-1, number + 1))
                        .map(file -> CompletableFuture.supplyAsync(() -> publish(file)))
                        .toList();
        List<CommandRun> results = runs.stream().map(CompletableFuture::join).toList();

        assertThat(results).filteredOn(run -> run.exitCode() == 0).hasSize(1);
        assertThat(results)
                .filteredOn(run -> run.exitCode() != 0)
                .allSatisfy(run -> assertThat(run.errors()).contains("602 STALE_BASE"));
    }

    /** Guards against deciding on a publication although the current version is unknown. */
    @Test
    void truncatedStreamWithoutSnapshotRejectsPublication() {
        for (int number = 0; number < 5; number++) {
            assertThat(publish(manifest(number - 1, number + 1)).exitCode()).isEqualTo(0);
        }

        assertThat(publish(manifest(4, 9)).errors()).contains("205 NO_CONFIGURATION");
    }

    /**
     * Guards against reporting only the first error, and against publishing an invalid manifest.
     */
    @Test
    void invalidManifestIsRejectedWithAllErrors() throws IOException {
        Path file = Files.writeString(mDirectory.resolve("bad"), "{\"schema\":3,\"base\":\"x\"}");

        CommandRun run = publish(file);

        assertThat(run.errors())
                .contains("601 INVALID_MANIFEST: 2 errors", "$.schema: found 3", "$.base: found");
        assertThat(publish(manifest(-1, 1)).output()).isEqualTo("accepted version 0\n");
    }

    /** Guards against reporting success before the version is active on every given entry. */
    @Test
    void waitEndsWhenEveryEntryReportsTheVersion() {
        try (AdminStub first = new AdminStub().respondTo("GET /admin/status", status(7));
                AdminStub second = new AdminStub().respondTo("GET /admin/status", status(-1))) {
            CompletableFuture<AdminStub> later =
                    CompletableFuture.supplyAsync(
                            () -> second.respondTo("GET /admin/status", status(0)),
                            CompletableFuture.delayedExecutor(500, TimeUnit.MILLISECONDS));
            CommandRun run =
                    publish(
                            manifest(-1, 1),
                            "--wait-entries",
                            first.address() + "," + second.address());

            assertThat(later).isCompleted();
            assertThat(run.exitCode()).isEqualTo(0);
            assertThat(run.output()).contains("in force in 2 entries");
        }
    }

    /** Guards against an unbounded wait, and against a failure that does not name the entry. */
    @Test
    void laggingEntryIsReported() {
        try (AdminStub entry = new AdminStub().respondTo("GET /admin/status", status(-1))) {
            CommandRun run =
                    publish(
                            manifest(-1, 1),
                            "--wait-entries",
                            entry.address() + ",127.0.0.1:1",
                            "--wait-ms",
                            "200");

            assertThat(run.output()).isEqualTo("accepted version 0\n");
            assertThat(run.errors())
                    .contains("606 NOT_IN_FORCE", entry.address() + ": has version -1")
                    .contains("127.0.0.1:1: ");
        }
    }

    private static String status(long version) {
        return "{\"configuration\":{\"version\":" + version + "}}";
    }

    private CommandRun publish(Path file, String... options) {
        String address = "http://127.0.0.1:" + mLog.port();
        String[] arguments = new String[4 + options.length];
        arguments[0] = "publish";
        arguments[1] = file.toString();
        arguments[2] = "--log-service";
        arguments[3] = address;
        System.arraycopy(options, 0, arguments, 4, options.length);
        return CommandRun.of(arguments);
    }

    private Path manifest(long base, int shards) {
        try {
            return Files.writeString(
                    mDirectory.resolve(base + "-" + shards),
                    "{\"schema\":1,\"base\":" + base + ",\"placement_shards\":" + shards + "}");
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
