package org.hickorycleat.model.manifest;

import java.util.List;
import java.util.Set;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * A latency-critical service of the manifest.
 *
 * @param name service name, as used in request paths
 * @param team team that owns it
 * @param criticality default criticality of its requests
 * @param instances number of instances; instance numbers start at 0
 * @param slots maximum concurrent requests of one target
 * @param connections maximum connections of one target
 * @param latencyGoalMs latency goal at the 99th percentile in milliseconds
 * @param zones availability zones over which instances are spread; empty for all
 * @param idempotentMethods HTTP methods whose requests may be retried
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
