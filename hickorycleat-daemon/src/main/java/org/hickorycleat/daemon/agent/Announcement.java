package org.hickorycleat.daemon.agent;

import java.net.InetSocketAddress;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.message.TargetState;

/**
 * What a target says of itself.
 *
 * @param service its service
 * @param instance its instance number
 * @param address address on this VM
 * @param slots requests that it runs at once
 * @param connections connections that it accepts
 * @param state ready or leaving
 */
record Announcement(
        ServiceName service,
        InstanceNumber instance,
        InetSocketAddress address,
        int slots,
        int connections,
        TargetState state) {}
