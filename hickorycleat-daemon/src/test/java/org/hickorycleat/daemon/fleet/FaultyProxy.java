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

/** A loopback proxy that forwards bytes, holds them back, loses answers or resets connections. */
final class FaultyProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16_384;
    private static final long HELD_POLL_MS = 20;

    /** What happens to bytes. */
    enum Mode {
        /** Everything is forwarded. */
        PASS,
        /** Nothing is forwarded, and nobody is told. */
        SILENT,
        /** Requests are forwarded, answers are dropped. */
        LOSE_ANSWERS,
        /** Connections are closed. */
        RESET
    }

    private final ServerSocket mServer;
    private final InetSocketAddress mTarget;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mMode = Mode.PASS;

    FaultyProxy(InetSocketAddress target) throws IOException {
        mTarget = target;
        mServer = new ServerSocket(FreePorts.next(), 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), mServer.getLocalPort());
    }

    /** Changes what happens; connections on which answers were lost are closed with it. */
    void setMode(Mode mode) {
        Mode before = mMode;
        mMode = mode;
        if (mode == Mode.RESET || before == Mode.LOSE_ANSWERS) {
            mSockets.forEach(FaultyProxy::close);
        }
    }

    private static void daemon(Runnable body) {
        Thread thread = new Thread(body, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket client = mServer.accept();
                Socket target = new Socket(mTarget.getAddress(), mTarget.getPort());
                mSockets.add(client);
                mSockets.add(target);
                daemon(() -> forward(client, target, false));
                daemon(() -> forward(target, client, true));
            } catch (IOException e) {
                // The proxy was closed, or its target is gone; clients see a closed connection.
            }
        }
    }

    private void forward(Socket from, Socket to, boolean answers) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                while (mMode == Mode.SILENT) {
                    TimeUnit.MILLISECONDS.sleep(HELD_POLL_MS);
                }
                if (mMode == Mode.LOSE_ANSWERS && answers) {
                    continue;
                }
                out.write(buffer, 0, read);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // Either side closed; the other is closed below.
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
