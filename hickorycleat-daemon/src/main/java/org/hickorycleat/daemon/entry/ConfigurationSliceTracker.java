package org.hickorycleat.daemon.entry;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.TargetReport;

/** Tracks the services that each agent hosts and the configuration slice last sent to it. */
final class ConfigurationSliceTracker {
    private final Map<Hello, Set<ServiceName>> mServices = new ConcurrentHashMap<>();
    private final Map<Hello, SentSlice> mLastSent = new ConcurrentHashMap<>();

    /** The slice last sent on a session. */
    private record SentSlice(ConfigurationVersion version, Set<ServiceName> services) {}

    /** Returns the services whose targets the report lists. */
    static Set<ServiceName> hostedServices(AgentReport report) {
        return report.targets().stream().map(TargetReport::service).collect(Collectors.toSet());
    }

    void setServices(Hello agent, Set<ServiceName> services) {
        mServices.put(agent, services);
    }

    /**
     * Returns the services of the slice to send on a session at a version; empty if that slice was
     * already sent.
     */
    Optional<Set<ServiceName>> servicesToSend(Hello agent, ConfigurationVersion version) {
        Set<ServiceName> services = mServices.getOrDefault(agent, Set.of());
        SentSlice sent = mLastSent.get(agent);
        boolean isUpToDate =
                sent != null && sent.version().equals(version) && sent.services().equals(services);
        return isUpToDate ? Optional.empty() : Optional.of(services);
    }

    void recordSent(Hello agent, ConfigurationVersion version, Set<ServiceName> services) {
        mLastSent.put(agent, new SentSlice(version, services));
    }

    void remove(Hello agent) {
        mServices.remove(agent);
        mLastSent.remove(agent);
    }
}
