package org.hickorycleat.model.manifest;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;

/**
 * What operators publish.
 *
 * @param base version that the manifest was made from, -1 for the first
 * @param placementShards number of placement shards
 * @param services services
 * @param jobs batch jobs
 * @param teams teams
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

    /** Finds a service by name. */
    public Optional<ServiceSpecification> service(ServiceName name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /** Finds a team by name. */
    public Optional<TeamSpecification> team(TeamName name) {
        return teams.stream().filter(team -> team.name().equals(name)).findFirst();
    }
}
