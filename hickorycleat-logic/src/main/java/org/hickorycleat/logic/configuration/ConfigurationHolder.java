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
 * The configuration that a process has in force; its version never decreases. Safe for use by
 * several threads.
 *
 * <p>A whole manifest is never replaced by a slice, even by one of a higher version: an entry that
 * knows every service would forget those that the slice does not hold. The whole manifest of that
 * version comes from a peer or the log.
 */
public final class ConfigurationHolder {
    private static final ConfigurationVersion NO_VERSION = new ConfigurationVersion(-1);

    private volatile Optional<ActiveConfiguration> mCurrent = Optional.empty();

    /** Only signals that something changed; each observer then reads the current value itself. */
    private final FlowableProcessor<Boolean> mSignals =
            BehaviorProcessor.createDefault(true).toSerialized();

    /** Puts a configuration in force if it is newer; tells whether anything changed. */
    public boolean updateIfNewer(AcceptedConfiguration configuration, ConfigurationSource source) {
        boolean isChanged = replace(new ActiveConfiguration(configuration, source));
        if (isChanged) {
            mSignals.onNext(true);
        }
        return isChanged;
    }

    /** Does the same with a message of another process; one that does not parse is ignored. */
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

    /** Returns the configuration in force. */
    public Optional<ActiveConfiguration> current() {
        return mCurrent;
    }

    /** Returns the version in force, -1 for none. */
    public ConfigurationVersion version() {
        return current().map(ActiveConfiguration::version).orElse(NO_VERSION);
    }

    /**
     * Emits the configuration in force, then each later one; an observer that is slow misses
     * intermediate ones but never the newest.
     */
    public Flowable<ActiveConfiguration> changes() {
        return mSignals.startWithItem(true)
                .onBackpressureLatest()
                .concatMapMaybe(signal -> Maybe.fromOptional(current()))
                .distinctUntilChanged();
    }

    /** Describes version and source, for the health output of the process. */
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

    private synchronized boolean replace(ActiveConfiguration offered) {
        Optional<ActiveConfiguration> next =
                mCurrent.isEmpty() ? Optional.of(offered) : mCurrent.get().after(offered);
        if (next.isPresent()) {
            mCurrent = next;
        }
        return next.isPresent();
    }
}
