package org.hickorycleat.daemon.fleet;

import java.util.Optional;
import java.util.function.Consumer;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.model.job.WorkloadConfiguration;
import org.hickorycleat.platform.MalformedContentException;
import org.hickorycleat.platform.WorkloadConfigurationReader;

/** Holds the newest known configuration; its version never decreases. */
final class WorkloadConfigurationCache {
    private static final EventLog LOG = EventLog.of(WorkloadConfigurationCache.class);

    private final Consumer<WorkloadConfiguration> mListener;
    private Optional<WorkloadConfiguration> mConfiguration = Optional.empty();
    private byte[] mContent = {};

    WorkloadConfigurationCache(Consumer<WorkloadConfiguration> listener) {
        mListener = listener;
    }

    synchronized Optional<WorkloadConfiguration> configuration() {
        return mConfiguration;
    }

    synchronized long version() {
        return mConfiguration.map(WorkloadConfiguration::version).orElse(-1L);
    }

    /** Returns the configuration as published by the operator. */
    synchronized byte[] content() {
        return mContent;
    }

    /** Activates a configuration if it is newer; ignores malformed content. */
    void updateIfNewer(byte[] content, String source) {
        WorkloadConfiguration configuration;
        try {
            configuration = WorkloadConfigurationReader.read(content);
        } catch (MalformedContentException e) {
            LOG.event("configuration_malformed").with("source", source).with("cause", e).warn();
            return;
        }
        synchronized (this) {
            if (configuration.version() <= version()) {
                return;
            }
            mConfiguration = Optional.of(configuration);
            mContent = content;
        }
        LOG.event("configuration_in_force")
                .with("version", configuration.version())
                .with("queues", configuration.queues().size())
                .with("source", source)
                .info();
        mListener.accept(configuration);
    }
}
