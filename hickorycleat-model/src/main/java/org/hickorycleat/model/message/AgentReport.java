package org.hickorycleat.model.message;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ConfigurationVersion;

/** State of an agent, sent once a second as its heartbeat. */
public record AgentReport(
        long uptimeMs,
        ConfigurationVersion configurationVersion,
        List<TargetReport> targets,
        Optional<WorkerSummary> worker)
        implements Message {
    /** Copies the collections. */
    public AgentReport {
        targets = List.copyOf(targets);
    }
}
