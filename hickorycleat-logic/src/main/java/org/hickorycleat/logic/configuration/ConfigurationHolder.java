package org.hickorycleat.logic.configuration;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import java.util.Optional;
import org.hickorycleat.model.configuration.AcceptedConfiguration;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.manifest.ManifestParser;
import org.hickorycleat.model.message.ConfigurationUpdate;

/**
 * Holds the active configuration of a process; its version never decreases. Thread-safe.
 *
 * <p>A complete manifest is never replaced by a configuration slice, even by one of a higher
 * version: an entry that knows every service would lose those that the slice does not contain. The
 * complete manifest of that version comes from a peer or the log.
 */
public final class ConfigurationHolder {
    private static final ConfigurationVersion NO_VERSION = new ConfigurationVersion(-1);

    private volatile Optional<ActiveConfiguration> mCurrent = Optional.empty();

    /** Signals only that the value changed; each observer then reads the current value. */
    private final FlowableProcessor<Boolean> mSignals =
            BehaviorProcessor.createDefault(true).toSerialized();

    /**
     * Activates a configuration if it is newer or more complete; returns whether anything changed.
     */
    public boolean updateIfNewer(AcceptedConfiguration configuration, ConfigurationSource source) {
        boolean isChanged = replace(new ActiveConfiguration(configuration, source));
        if (isChanged) {
            mSignals.onNext(true);
        }
        return isChanged;
    }

    /**
     * Applies an update received from another process; an update that cannot be parsed is ignored.
     */
    public boolean updateIfNewer(ConfigurationUpdate update, ConfigurationSource source) {
        if (update.version().value() < 0) {
            return false;
        }
        return ManifestParser.parse(update.manifest())
                .map(
                        manifest ->
                                updateIfNewer(
                                        new AcceptedConfiguration(
                                                update.version(), manifest, update.manifest()),
                                        source))
                .getOrElse(false);
    }

    /** Returns the active configuration. */
    public Optional<ActiveConfiguration> current() {
        return mCurrent;
    }

    /** Returns the active version, -1 for none. */
    public ConfigurationVersion version() {
        return current().map(ActiveConfiguration::version).orElse(NO_VERSION);
    }

    /**
     * Emits the active configuration, then each later one; a slow observer misses intermediate
     * versions but never the latest.
     */
    public Flowable<ActiveConfiguration> changes() {
        return mSignals.startWithItem(true)
                .onBackpressureLatest()
                .concatMapMaybe(signal -> Maybe.fromOptional(current()))
                .distinctUntilChanged();
    }

    /** Formats the version and source for the health output of the process. */
    public String healthText() {
        return current()
                .map(
                        current ->
                                "configuration_version="
                                        + current.version()
                                        + " source="
                                        + current.source().label()
                                        + " complete="
                                        + current.source().isComplete())
                .orElse(
                        "configuration_version=none reason=\"neither the log nor a peer or agent"
                                + " has provided one\"");
    }

    private synchronized boolean replace(ActiveConfiguration candidate) {
        Optional<ActiveConfiguration> next =
                mCurrent.isEmpty() ? Optional.of(candidate) : mCurrent.get().updatedBy(candidate);
        if (next.isPresent()) {
            mCurrent = next;
        }
        return next.isPresent();
    }
}
