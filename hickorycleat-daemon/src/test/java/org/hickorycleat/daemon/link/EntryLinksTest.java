package org.hickorycleat.daemon.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.EntryAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EntryLinksTest {
    private static final int TIMEOUT_MS = 5_000;

    private final MessageTransport mTransport =
            new MessageTransport(1, new TransportMetrics(new SimpleMeterRegistry()));

    @AfterEach
    void stop() {
        mTransport.close();
    }

    // No session opens, so the handler is only asked for its number.
    private static EntryLinkHandler handler() {
        return (EntryLinkHandler)
                Proxy.newProxyInstance(
                        EntryLinkHandler.class.getClassLoader(),
                        new Class<?>[] {EntryLinkHandler.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("nextSessionNumber")) {
                                return new SessionNumber(1);
                            }
                            throw new UnsupportedOperationException(method.getName());
                        });
    }

    private static EntryAddress entry(String name, int port) {
        return new EntryAddress(new ProcessId(name), new ZoneId("north"), "127.0.0.1", port);
    }

    /** Guards against a list of a peer in which one odd address hides the others. */
    @ParameterizedTest
    @ValueSource(ints = {70_000, -1})
    void connectsToOtherEntriesOfListWithOddPort(int port) throws Exception {
        EntryLinks links = new EntryLinks(mTransport, new TestScheduler(), handler(), 8);
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(TIMEOUT_MS);
            links.addDiscovered(
                    List.of(entry("odd", port), entry("entry-1", server.getLocalPort())));
            try (Socket accepted = server.accept()) {
                assertThat(accepted.isConnected()).isTrue();
            }
        }
    }
}
