package org.hickorycleat.daemon.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out ports below those that the system gives to outgoing connections, so that none of these
 * takes a port between its choice and its use. The port after each is left to the same test.
 */
final class FreePorts {
    private static final int FIRST = 21_000;
    private static final int PAIRS = 5_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PAIRS));

    private FreePorts() {}

    /** Returns a port on which nobody listens on the loopback address. */
    static int next() {
        for (int i = 0; i < PAIRS; i++) {
            int port = FIRST + 2 * (NEXT.getAndIncrement() % PAIRS);
            if (isFree(port) && isFree(port + 1)) {
                return port;
            }
        }
        throw new IllegalStateException("no free port");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            // Somebody listens there; the next port is tried.
            return false;
        }
    }
}
