package org.hickorycleat.model.manifest;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;

/**
 * The desired state that operators publish: services, batch jobs and teams.
 *
 * @param base configuration version that the manifest is based on; -1 for the first
 * @param placementShards number of placement shards
 * @param services latency-critical services
 * @param jobs batch jobs
 * @param teams owners of the services and jobs, with their quotas
 */
public record Manifest(
        ConfigurationVersion base,
        int placementShards,
        List<ServiceSpecification> services,
        List<JobSpecification> jobs,
        List<TeamSpecification> teams) {
    /** Copies the collections. */
    public Manifest {
        services = List.copyOf(services);
        jobs = List.copyOf(jobs);
        teams = List.copyOf(teams);
    }

    /** Returns the service with the given name; empty if there is none. */
    public Optional<ServiceSpecification> service(ServiceName name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /** Returns the team with the given name; empty if there is none. */
    public Optional<TeamSpecification> team(TeamName name) {
        return teams.stream().filter(team -> team.name().equals(name)).findFirst();
    }
}
