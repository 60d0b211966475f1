package org.hickorycleat.model.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * Settings of a process on the users' platform.
 *
 * @param callerAddress where callers are served
 * @param readinessAddress where readiness is asked
 * @param workerHeartbeatAddress where the worker beside an agent announces itself
 * @param linkAddress where other processes connect
 * @param adminAddress where metrics and the state dump are served
 * @param workerControlAddress where the worker beside an agent takes orders
 * @param seeds addresses of links of other processes; may be stale
 * @param capacityMilli share of a processor, in thousandths
 * @param adviceAddress address of the advice service
 * @param maximumLeaseMs longest lease that workers grant, in milliseconds
 * @param checkpointIntervalMs time between checkpoints of a task, in milliseconds
 * @param stopGraceMs longest time that a stop of a run takes, in milliseconds
 * @param statusRetentionMs how long the state of a finished job is kept, in milliseconds
 * @param maximumInterferenceMs how long a serving task may miss its target because of others, in
 *     milliseconds
 */
public record NodeSettings(
        ProcessId process,
        ZoneId zone,
        Optional<InetSocketAddress> callerAddress,
        Optional<InetSocketAddress> readinessAddress,
        Optional<InetSocketAddress> workerHeartbeatAddress,
        InetSocketAddress linkAddress,
        InetSocketAddress adminAddress,
        Optional<InetSocketAddress> workerControlAddress,
        Optional<ServiceName> service,
        List<InetSocketAddress> seeds,
        long capacityMilli,
        InetSocketAddress storeAddress,
        Optional<InetSocketAddress> adviceAddress,
        int maximumLeaseMs,
        int checkpointIntervalMs,
        int stopGraceMs,
        long statusRetentionMs,
        int maximumInterferenceMs) {
    /** Copies the list. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }
}
