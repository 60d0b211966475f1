package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.cli.CommandFailure;
import org.hickorycleat.model.identifier.ConfigurationVersion;

/** Waits until processes report that a configuration version is active. */
public final class VersionWaiter {
    private static final long POLL_INTERVAL_MS = 20;

    /** Well below the default wait of the publish command, so that a lost response is retried. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    private VersionWaiter() {}

    /**
     * Result of the wait.
     *
     * @param elapsedMs time waited in milliseconds
     * @param missing one line for each process that does not report the version
     */
    public record Result(long elapsedMs, List<String> missing) {
        /** Makes a defensive copy of the list. */
        public Result {
            missing = List.copyOf(missing);
        }

        /** Returns whether every process reported the version. */
        public boolean isActive() {
            return missing.isEmpty();
        }
    }

    /** Polls until every process reports at least the version or the timeout expires. */
    public static Result await(
            ConfigurationVersion version, List<AdminAddress> processes, Duration timeout) {
        long startNanos = System.nanoTime();
        try (AdminClient client = new AdminClient(REQUEST_TIMEOUT)) {
            while (true) {
                List<String> missing = missing(client, processes, version);
                long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
                if (missing.isEmpty() || elapsedMs + POLL_INTERVAL_MS > timeout.toMillis()) {
                    return new Result(elapsedMs, missing);
                }
                Thread.sleep(POLL_INTERVAL_MS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new Result((System.nanoTime() - startNanos) / 1_000_000, List.of("interrupted"));
        }
    }

    /** Polls all processes in parallel, so that an unresponsive one does not delay the others. */
    private static List<String> missing(
            AdminClient client, List<AdminAddress> processes, ConfigurationVersion version) {
        return processes.parallelStream()
                .map(process -> missingReason(client, process, version))
                .flatMap(Optional::stream)
                .toList();
    }

    private static Optional<String> missingReason(
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
