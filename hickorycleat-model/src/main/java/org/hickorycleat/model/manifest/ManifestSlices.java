package org.hickorycleat.model.manifest;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;

/**
 * Extracts and merges configuration slices: the part of a manifest that concerns some services. A
 * slice is itself a valid manifest.
 */
public final class ManifestSlices {
    private ManifestSlices() {}

    /**
     * Returns the slice for an agent that hosts the given services: these services and their teams,
     * without jobs.
     */
    public static Manifest slice(Manifest manifest, Set<ServiceName> names) {
        List<ServiceSpecification> services =
                manifest.services().stream().filter(item -> names.contains(item.name())).toList();
        Set<TeamName> teams =
                services.stream().map(ServiceSpecification::team).collect(Collectors.toSet());
        return new Manifest(
                manifest.base(),
                manifest.placementShards(),
                services,
                List.of(),
                manifest.teams().stream().filter(team -> teams.contains(team.name())).toList());
    }

    /** Returns the union of two slices of the same manifest. */
    public static Manifest merge(Manifest first, Manifest second) {
        return new Manifest(
                first.base(),
                first.placementShards(),
                union(first.services(), second.services(), ServiceSpecification::name),
                List.of(),
                union(first.teams(), second.teams(), TeamSpecification::name));
    }

    private static <T, N> List<T> union(List<T> first, List<T> second, Function<T, N> name) {
        Set<N> names = first.stream().map(name).collect(Collectors.toSet());
        List<T> all = new ArrayList<>(first);
        second.stream().filter(item -> !names.contains(name.apply(item))).forEach(all::add);
        return all;
    }
}
