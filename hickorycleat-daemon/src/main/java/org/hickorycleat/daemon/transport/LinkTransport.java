package org.hickorycleat.daemon.transport;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Listens for and opens connections that carry messages. */
public interface LinkTransport {
    /** Listens on an address; each connection gets a separate listener. */
    void listen(InetSocketAddress address, Supplier<MessageListener> listenerFactory)
            throws InterruptedException;

    /** Opens a connection; calls {@code onFailure} if it cannot be opened. */
    void connect(
            InetSocketAddress address, MessageListener listener, Consumer<Throwable> onFailure);
}
