package org.hickorycleat.daemon.agent;

import java.net.InetSocketAddress;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.message.TargetState;

/**
 * Announcement of a target to its local agent.
 *
 * @param service service of the target
 * @param instance instance number of the target
 * @param address address of the target on this VM
 * @param slots maximum number of concurrent requests
 * @param connections maximum number of connections
 * @param state ready or leaving
 */
record Announcement(
        ServiceName service,
        InstanceNumber instance,
        InetSocketAddress address,
        int slots,
        int connections,
        TargetState state) {}
