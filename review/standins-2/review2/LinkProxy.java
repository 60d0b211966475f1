package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Passes connections to an address. While it holds, nothing arrives on any of them in either
 * direction; what was sent arrives afterwards, in order.
 */
final class LinkProxy {
    private final InetSocketAddress mTarget;
    private volatile boolean mHoldingToTarget;
    private volatile boolean mHoldingFromTarget;

    LinkProxy(InetSocketAddress address, InetSocketAddress target) throws IOException {
        mTarget = target;
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(address);
        Fleet.daemonThread(() -> accept(server)).start();
    }

    /** Holds both directions. */
    void hold() {
        mHoldingToTarget = true;
        mHoldingFromTarget = true;
    }

    void releaseFromTarget() {
        mHoldingFromTarget = false;
    }

    void releaseToTarget() {
        mHoldingToTarget = false;
    }

    private void accept(ServerSocket server) {
        while (true) {
            try {
                Socket left = server.accept();
                Socket right = new Socket();
                right.connect(mTarget, 1_000);
                left.setTcpNoDelay(true);
                right.setTcpNoDelay(true);
                Fleet.daemonThread(() -> pass(left, right, true)).start();
                Fleet.daemonThread(() -> pass(right, left, false)).start();
            } catch (IOException e) {
                Fleet.sleep(50);
            }
        }
    }

    // An orderly end of one direction is passed on behind what is held.
    private void pass(Socket from, Socket to, boolean toTarget) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                awaitRelease(toTarget);
                out.write(buffer, 0, length);
                out.flush();
            }
            awaitRelease(toTarget);
            to.shutdownOutput();
        } catch (IOException e) {
            awaitRelease(toTarget);
            close(from);
            close(to);
        }
    }

    private void awaitRelease(boolean toTarget) {
        while (toTarget ? mHoldingToTarget : mHoldingFromTarget) {
            Fleet.sleep(2);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
