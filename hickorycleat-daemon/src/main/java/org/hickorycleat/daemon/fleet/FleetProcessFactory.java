package org.hickorycleat.daemon.fleet;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.logic.election.ProcessCapacity;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.node.NodeSettings;

/** Creates the entry or agent role of a process on the users' platform. */
public final class FleetProcessFactory {
    private FleetProcessFactory() {}

    /** Creates an agent if the settings name a worker, otherwise an entry. */
    public static Lifecycle create(NodeSettings settings) {
        // VMs have one processor. The state is protected by locks, so more threads would also be
        // correct.
        EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Scheduler scheduler = Schedulers.from(eventLoops);
        ProcessMetrics metrics = new ProcessMetrics();
        MessageTransport transport = new MessageTransport(eventLoops, metrics.transportMetrics());
        ProcessRole role =
                settings.workerControlAddress().isPresent() ? ProcessRole.AGENT : ProcessRole.ENTRY;
        FleetNode self =
                new FleetNode(
                        settings.process(),
                        role,
                        settings.zone(),
                        settings.linkAddress().getAddress().getHostAddress(),
                        settings.linkAddress().getPort(),
                        ProcessCapacity.milli(
                                settings.processorShareMilli(),
                                settings.processors(),
                                settings.linkKbps()),
                        System.currentTimeMillis());
        return role == ProcessRole.AGENT
                ? new AgentRole(settings, self, eventLoops, transport, scheduler, metrics)
                : new EntryRole(settings, self, eventLoops, transport, scheduler, metrics);
    }
}
