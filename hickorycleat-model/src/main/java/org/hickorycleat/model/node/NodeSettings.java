package org.hickorycleat.model.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * Settings of a process on the users' platform.
 *
 * @param callerAddress listen address for requests of callers
 * @param readinessAddress listen address for readiness checks
 * @param workerHeartbeatAddress listen address for heartbeats of the local worker
 * @param linkAddress listen address for links of other processes
 * @param adminAddress listen address for metrics and the state dump
 * @param workerControlAddress address at which the local worker accepts commands
 * @param seeds link addresses of other processes; may be stale
 * @param processorShareMilli share of each of its processors that the process may use, in
 *     thousandths
 * @param processors number of processors
 * @param linkKbps bandwidth of the network link, in kilobits per second; empty if it is not limited
 * @param maximumRecordBytes maximum size of a store record, in bytes
 * @param adviceAddress address of the advice service
 * @param maximumLeaseMs maximum lease that workers accept, in milliseconds
 * @param checkpointIntervalMs time between checkpoints of a task, in milliseconds
 * @param stopGraceMs maximum time that stopping a run takes, in milliseconds
 * @param statusRetentionMs how long the state of a finished job is kept, in milliseconds
 * @param maximumInterferenceMs maximum time that a latency-critical task may miss its target
 *     because of interference, in milliseconds
 * @param farRunFactor factor from the run time of a task in the rack of its data or group to that
 *     elsewhere; at least 1
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
        long processorShareMilli,
        int processors,
        OptionalLong linkKbps,
        InetSocketAddress storeAddress,
        int maximumRecordBytes,
        Optional<InetSocketAddress> adviceAddress,
        int maximumLeaseMs,
        int checkpointIntervalMs,
        int stopGraceMs,
        long statusRetentionMs,
        int maximumInterferenceMs,
        double farRunFactor) {
    /** Copies the list. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }
}
