package org.hickorycleat.daemon.fleet;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.node.NodeSettings;

/** Builds the roles of processes on the users' platform. */
public final class FleetProcessFactory {
    private FleetProcessFactory() {}

    /** Creates a process in the role that its settings ask for. */
    public static Lifecycle create(NodeSettings settings) {
        // Machines have one core; the state is locked, so more threads would work as well.
        EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Scheduler scheduler = Schedulers.from(eventLoops);
        ProcessMetrics metrics = new ProcessMetrics();
        MessageTransport transport =
                new MessageTransport(eventLoops, new TransportMetrics(metrics.registry()));
        ProcessRole role =
                settings.workerControlAddress().isPresent() ? ProcessRole.AGENT : ProcessRole.ENTRY;
        FleetNode self =
                new FleetNode(
                        settings.process(),
                        role,
                        settings.zone(),
                        settings.linkAddress().getAddress().getHostAddress(),
                        settings.linkAddress().getPort(),
                        settings.capacityMilli(),
                        System.currentTimeMillis());
        return role == ProcessRole.AGENT
                ? new AgentRole(settings, self, eventLoops, transport, scheduler, metrics)
                : new EntryRole(settings, self, eventLoops, transport, scheduler, metrics);
    }
}
