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

/** Which services each agent hosts and which slice of the configuration it was sent last. */
final class ConfigurationSliceTracker {
    private final Map<Hello, Set<ServiceName>> mServices = new ConcurrentHashMap<>();
    private final Map<Hello, Sent> mSent = new ConcurrentHashMap<>();

    /** What was sent on a session. */
    private record Sent(ConfigurationVersion version, Set<ServiceName> services) {}

    /** Returns the services of a report. */
    static Set<ServiceName> services(AgentReport report) {
        return report.targets().stream().map(TargetReport::service).collect(Collectors.toSet());
    }

    void setServices(Hello agent, Set<ServiceName> services) {
        mServices.put(agent, services);
    }

    /** Returns the services that a session is to be sent at a version; empty when it has them. */
    Optional<Set<ServiceName>> servicesToSend(Hello agent, ConfigurationVersion version) {
        Set<ServiceName> services = mServices.getOrDefault(agent, Set.of());
        Sent sent = mSent.get(agent);
        boolean has =
                sent != null && sent.version().equals(version) && sent.services().equals(services);
        return has ? Optional.empty() : Optional.of(services);
    }

    void recordSent(Hello agent, ConfigurationVersion version, Set<ServiceName> services) {
        mSent.put(agent, new Sent(version, services));
    }

    void remove(Hello agent) {
        mServices.remove(agent);
        mSent.remove(agent);
    }
}
