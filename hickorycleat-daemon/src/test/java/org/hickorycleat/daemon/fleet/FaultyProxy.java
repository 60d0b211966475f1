package org.hickorycleat.daemon.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Forwards bytes on loopback at a limited rate, or stalls them, drops responses, closes connections
 * or silences them.
 */
final class FaultyProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16_384;
    private static final long STALL_POLL_MS = 20;

    /** Handling of the bytes that arrive. */
    enum Mode {
        /** Forwards all bytes. */
        PASS,
        /** Holds all bytes back and leaves the connections open. */
        STALL,
        /** Forwards requests and drops responses. */
        DROP_RESPONSES,
        /** Closes the connections that are open when the mode is set. */
        RESET
    }

    private final ServerSocket mServer;
    private final InetSocketAddress mUpstream;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> mSilentSockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mMode = Mode.PASS;
    private volatile long mBytesPerSecond = Long.MAX_VALUE;

    FaultyProxy(InetSocketAddress upstream) throws IOException {
        mUpstream = upstream;
        mServer = new ServerSocket(FreePorts.next(), 50, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), mServer.getLocalPort());
    }

    /**
     * Changes the mode; leaving DROP_RESPONSES closes the connections, whose responses are
     * incomplete.
     */
    void setMode(Mode mode) {
        Mode previous = mMode;
        mMode = mode;
        if (mode == Mode.RESET || previous == Mode.DROP_RESPONSES) {
            mSockets.forEach(FaultyProxy::close);
        }
    }

    /**
     * Discards all further bytes of the open connections in both directions without closing them;
     * new connections are forwarded.
     */
    void silenceOpenConnections() {
        mSilentSockets.addAll(mSockets);
    }

    /** Limits the rate at which each connection forwards bytes in each direction. */
    void setBytesPerSecond(long bytesPerSecond) {
        mBytesPerSecond = bytesPerSecond;
    }

    private static void startDaemon(Runnable body) {
        Thread thread = new Thread(body, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket client = mServer.accept();
                Socket upstream = new Socket(mUpstream.getAddress(), mUpstream.getPort());
                mSockets.add(client);
                mSockets.add(upstream);
                startDaemon(() -> forward(client, upstream, false));
                startDaemon(() -> forward(upstream, client, true));
            } catch (IOException e) {
                // The proxy was closed, or its upstream does not listen; clients see a closed
                // connection.
            }
        }
    }

    private void forward(Socket from, Socket to, boolean responses) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                while (mMode == Mode.STALL) {
                    TimeUnit.MILLISECONDS.sleep(STALL_POLL_MS);
                }
                boolean dropped = mMode == Mode.DROP_RESPONSES && responses;
                if (dropped || mSilentSockets.contains(from)) {
                    continue;
                }
                out.write(buffer, 0, read);
                out.flush();
                TimeUnit.MICROSECONDS.sleep(TimeUnit.SECONDS.toMicros(1) * read / mBytesPerSecond);
            }
        } catch (IOException | InterruptedException e) {
            // Either side closed; the other is closed below.
        }
        // The end of one side of a silent connection is not seen by the other one.
        if (mSilentSockets.contains(from)) {
            return;
        }
        close(from);
        close(to);
        mSockets.remove(from);
        mSockets.remove(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mSockets.forEach(FaultyProxy::close);
    }
}
