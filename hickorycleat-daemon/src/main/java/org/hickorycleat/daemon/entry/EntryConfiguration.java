package org.hickorycleat.daemon.entry;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.hickorycleat.daemon.http.ProcessStatus;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.configuration.ActiveConfiguration;
import org.hickorycleat.logic.configuration.ConfigurationHolder;
import org.hickorycleat.logic.configuration.ConfigurationReader;
import org.hickorycleat.logic.configuration.ConfigurationSource;
import org.hickorycleat.logic.configuration.ConfigurationStream;
import org.hickorycleat.logic.configuration.SnapshotAppender;
import org.hickorycleat.logic.configuration.SnapshotPolicy;
import org.hickorycleat.logic.log.ExponentialBackoff;
import org.hickorycleat.logic.log.IdempotentAppender;
import org.hickorycleat.logic.log.StreamFollower;
import org.hickorycleat.logic.log.StreamHealth;
import org.hickorycleat.logic.port.LogService;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.message.ConfigurationUpdate;

/**
 * Maintains the configuration of an entry: reads the log, applies updates from peers and agents,
 * and appends snapshots.
 */
final class EntryConfiguration implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(EntryConfiguration.class);

    /** Minimum age and number of records that the log service retains; see docs/interfaces.md. */
    private static final Duration RETENTION = Duration.ofHours(24);

    private static final long RETENTION_RECORDS = 10_000;

    private final ConfigurationHolder mHolder = new ConfigurationHolder();
    private final StreamFollower mFollower;
    private final ConfigurationReader mReader;
    private final SnapshotAppender mSnapshots;
    private final CompositeDisposable mSubscriptions = new CompositeDisposable();

    EntryConfiguration(
            ProcessId process, Incarnation incarnation, LogService log, Scheduler scheduler) {
        Random random = new Random(incarnation.value());
        mFollower =
                new StreamFollower(
                        log,
                        ConfigurationStream.NAME,
                        0,
                        StreamFollower.DEFAULT_WAIT,
                        ExponentialBackoff.DEFAULT,
                        random,
                        scheduler);
        mReader =
                new ConfigurationReader(
                        mFollower,
                        mHolder,
                        (offset, outcome) ->
                                LOG.event("configuration_record")
                                        .with("offset", offset)
                                        .with("outcome", outcome)
                                        .info());
        mSnapshots =
                new SnapshotAppender(
                        new IdempotentAppender(
                                log,
                                ConfigurationStream.NAME,
                                ConfigurationStream.RECORD_IDS,
                                ExponentialBackoff.DEFAULT,
                                random,
                                scheduler),
                        process,
                        incarnation,
                        new AtomicLong()::incrementAndGet,
                        mReader::history,
                        SnapshotPolicy.forRetention(RETENTION, RETENTION_RECORDS),
                        random,
                        scheduler);
    }

    /**
     * Starts reading the log; {@code onChange} is called for each configuration that becomes
     * active.
     */
    void start(Consumer<ActiveConfiguration> onChange) {
        mSubscriptions.add(
                mHolder.changes()
                        .observeOn(Schedulers.single())
                        .subscribe(onChange::accept, EntryConfiguration::logFailure));
        mSubscriptions.add(mReader.run().subscribe(() -> {}, EntryConfiguration::logFailure));
        mSubscriptions.add(mSnapshots.run().subscribe(() -> {}, EntryConfiguration::logFailure));
    }

    /** Returns the active manifest. */
    Optional<Manifest> manifest() {
        return mHolder.current().map(current -> current.configuration().manifest());
    }

    /** Returns the active configuration. */
    Optional<ActiveConfiguration> current() {
        return mHolder.current();
    }

    /** Returns the active version as a number, or -1 if there is none. */
    long version() {
        return mHolder.version().value();
    }

    /** Updates the configuration from another entry if it is newer. */
    void updateFromPeer(ConfigurationUpdate update) {
        mHolder.updateIfNewer(update, ConfigurationSource.PEER);
    }

    /**
     * Updates the configuration from an agent's slice, which is used only if no better source is
     * known.
     */
    void updateFromAgent(ConfigurationUpdate update) {
        mHolder.updateIfNewer(update, ConfigurationSource.AGENT);
    }

    /** Returns the configuration for the process status. */
    ProcessStatus.Configuration status() {
        return new ProcessStatus.Configuration(
                version(),
                current().map(current -> current.source().label()).orElse("none"),
                current().map(current -> current.source().isComplete()).orElse(false));
    }

    /** Returns the health of the log reader for the process status. */
    ProcessStatus.Log logStatus() {
        StreamHealth health = mFollower.health();
        return new ProcessStatus.Log(health.isAvailable(), health.lastError().orElse(""));
    }

    /** Returns a description of the configuration and log for health output. */
    String healthText() {
        return mReader.healthText();
    }

    @Override
    public void close() {
        mSubscriptions.dispose();
    }

    private static void logFailure(Throwable cause) {
        LOG.event("configuration_failed").with("cause", cause).error();
    }
}
