package org.hickorycleat.model.manifest;

import java.util.List;
import java.util.Set;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * A latency-critical service of the manifest.
 *
 * @param name name in the path of requests
 * @param team team that owns it
 * @param criticality default criticality of its requests
 * @param instances number of instances, numbered from 0
 * @param slots requests that one target runs at once
 * @param connections connections that one target accepts
 * @param latencyGoalMs latency goal at the 99th percentile in milliseconds
 * @param zones availability zones that it is spread over; empty for all
 * @param idempotentMethods HTTP methods whose requests may be repeated
 */
public record ServiceSpecification(
        ServiceName name,
        TeamName team,
        Criticality criticality,
        int instances,
        int slots,
        int connections,
        long latencyGoalMs,
        List<ZoneId> zones,
        Set<String> idempotentMethods) {
    /** Copies the collections. */
    public ServiceSpecification {
        zones = List.copyOf(zones);
        idempotentMethods = Set.copyOf(idempotentMethods);
    }
}
