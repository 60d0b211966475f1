package org.hickorycleat.daemon.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.node.NodeSettings;

/** Settings of entries and agents that run on loopback within a test. */
final class LoopbackNodes {
    private LoopbackNodes() {}

    static InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    }

    static NodeSettings settings(
            String name,
            InetSocketAddress store,
            Optional<InetSocketAddress> worker,
            List<InetSocketAddress> seeds) {
        return new NodeSettings(
                new ProcessId(name),
                new ZoneId("north"),
                Optional.of(address()),
                Optional.of(address()),
                Optional.of(address()),
                address(),
                address(),
                worker,
                worker.map(any -> new ServiceName("booking")),
                seeds,
                1_000,
                1,
                OptionalLong.empty(),
                store,
                262_144,
                Optional.empty(),
                10_000,
                1_000,
                400,
                120_000,
                4_000,
                1);
    }
}
