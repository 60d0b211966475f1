package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * Identity and address of a process of the fleet.
 *
 * @param host IP address
 * @param port port on which it accepts links
 * @param capacityMilli processor capacity of the process, as far as its link carries it, in
 *     thousandths of a processor
 * @param startedAtMs start time of the process, in Unix milliseconds; of two addresses of a process
 *     the later start wins
 */
public record FleetNode(
        ProcessId process,
        ProcessRole role,
        ZoneId zone,
        String host,
        int port,
        long capacityMilli,
        long startedAtMs) {}
