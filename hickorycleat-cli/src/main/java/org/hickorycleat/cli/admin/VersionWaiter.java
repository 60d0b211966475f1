package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.cli.CommandFailure;
import org.hickorycleat.model.identifier.ConfigurationVersion;

/** Waits until processes report that a version is in force. */
public final class VersionWaiter {
    private static final long PAUSE_MS = 20;

    /** Well below the time to wait, so that a lost answer is asked for again. */
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(1);

    private VersionWaiter() {}

    /**
     * What was seen.
     *
     * @param elapsedMs time waited in milliseconds
     * @param missing a line for each process that does not report the version
     */
    public record Result(long elapsedMs, List<String> missing) {
        /** Copies the collections. */
        public Result {
            missing = List.copyOf(missing);
        }

        /** Tells whether every process reported the version. */
        public boolean isInForce() {
            return missing.isEmpty();
        }
    }

    /** Polls until every process reports at least the version or the time is up. */
    public static Result await(
            ConfigurationVersion version, List<AdminAddress> processes, Duration limit) {
        long start = System.nanoTime();
        try (AdminClient client = new AdminClient(EXCHANGE_TIMEOUT)) {
            while (true) {
                List<String> missing = missing(client, processes, version);
                long elapsedMs = (System.nanoTime() - start) / 1_000_000;
                if (missing.isEmpty() || elapsedMs + PAUSE_MS > limit.toMillis()) {
                    return new Result(elapsedMs, missing);
                }
                Thread.sleep(PAUSE_MS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new Result((System.nanoTime() - start) / 1_000_000, List.of("interrupted"));
        }
    }

    /** Asks all processes at once, so that one that hangs does not use up the time of others. */
    private static List<String> missing(
            AdminClient client, List<AdminAddress> processes, ConfigurationVersion version) {
        return processes.parallelStream()
                .map(process -> fault(client, process, version))
                .flatMap(Optional::stream)
                .toList();
    }

    private static Optional<String> fault(
            AdminClient client, AdminAddress process, ConfigurationVersion version) {
        Either<CommandFailure, JsonNode> status = client.get(process, "status");
        return status.fold(
                failure -> Optional.of(failure.detail()),
                json -> olderVersion(json, process, version));
    }

    private static Optional<String> olderVersion(
            JsonNode status, AdminAddress process, ConfigurationVersion version) {
        long reported = status.path("configuration").path("version").asLong(-1);
        return reported >= version.value()
                ? Optional.empty()
                : Optional.of(process.text() + ": has version " + reported);
    }
}
