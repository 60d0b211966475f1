package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * Address of a process of the fleet.
 *
 * @param host IP address
 * @param port port of its links
 * @param capacityMilli share of a processor that it has, in thousandths
 * @param startedAtMs when the process started, in Unix milliseconds; the newest address wins
 */
public record FleetNode(
        ProcessId process,
        ProcessRole role,
        ZoneId zone,
        String host,
        int port,
        long capacityMilli,
        long startedAtMs) {}
