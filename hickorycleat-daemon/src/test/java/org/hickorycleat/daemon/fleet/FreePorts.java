package org.hickorycleat.daemon.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports below the ephemeral range, so that no outgoing connection takes a port between
 * its choice and its use. The port after each is reserved for the same test.
 */
final class FreePorts {
    private static final int FIRST = 21_000;
    private static final int PAIRS = 5_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PAIRS));

    private FreePorts() {}

    /** Returns a port that is free on the loopback address, as is the port after it. */
    static int next() {
        for (int i = 0; i < PAIRS; i++) {
            int port = FIRST + 2 * (NEXT.getAndIncrement() % PAIRS);
            if (isFree(port) && isFree(port + 1)) {
                return port;
            }
        }
        throw new IllegalStateException("no free pair of ports in the range");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            // The port is in use; the next one is tried.
            return false;
        }
    }
}
