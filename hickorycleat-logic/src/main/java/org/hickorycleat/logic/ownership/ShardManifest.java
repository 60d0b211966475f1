package org.hickorycleat.logic.ownership;

import java.util.List;
import java.util.Map;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.JobSpecification;
import org.hickorycleat.model.task.Resources;

/**
 * Part of the manifest that applies to one shard.
 *
 * @param version accepted version of the manifest
 * @param jobs jobs that are assigned to the shard by hash
 * @param services services with instances in the shard
 * @param quotas quota of each team
 */
public record ShardManifest(
        ConfigurationVersion version,
        List<JobSpecification> jobs,
        List<ServiceDemand> services,
        Map<TeamName, Resources> quotas) {
    /** Copies the collections. */
    public ShardManifest {
        jobs = List.copyOf(jobs);
        services = List.copyOf(services);
        quotas = Map.copyOf(quotas);
    }
}
