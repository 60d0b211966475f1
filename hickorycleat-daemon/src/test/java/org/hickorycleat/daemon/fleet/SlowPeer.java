package org.hickorycleat.daemon.fleet;

import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.transport.MessageCodec;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.EntryHeartbeat;
import org.hickorycleat.model.message.FleetHello;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;

/** Simulates an entry without a configuration that receives a bounded number of bytes a second. */
final class SlowPeer implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 16_384;
    private static final int READ_INTERVAL_MS = 50;
    private static final int HEARTBEAT_INTERVAL_MS = 200;

    private final MessageCodec mCodec = new MessageCodec();
    private final Socket mSocket = new Socket();
    private final DataOutputStream mOut;
    private final int mReadBytes;

    SlowPeer(InetSocketAddress entry, int bytesPerSecond) throws IOException {
        mReadBytes = bytesPerSecond * READ_INTERVAL_MS / 1_000;
        mSocket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mSocket.connect(entry);
        mOut = new DataOutputStream(mSocket.getOutputStream());
        FleetNode self =
                new FleetNode(
                        new ProcessId("slow-peer"),
                        ProcessRole.ENTRY,
                        new ZoneId("north"),
                        "127.0.0.1",
                        FreePorts.next(),
                        100,
                        System.currentTimeMillis());
        send(new FleetHello(self));
        startDaemon(this::sendHeartbeats);
        startDaemon(this::receive);
    }

    private static void startDaemon(Runnable body) {
        Thread thread = new Thread(body, "slow-peer");
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void send(Message message) throws IOException {
        byte[] content = mCodec.encode(message);
        mOut.writeInt(content.length);
        mOut.write(content);
        mOut.flush();
    }

    private void sendHeartbeats() {
        try {
            while (!mSocket.isClosed()) {
                send(new EntryHeartbeat(Optional.empty(), new Epoch(-1), 60_000, -1, false, 0));
                TimeUnit.MILLISECONDS.sleep(HEARTBEAT_INTERVAL_MS);
            }
        } catch (IOException | InterruptedException e) {
            // The test has ended.
        }
    }

    private void receive() {
        byte[] buffer = new byte[mReadBytes];
        try {
            InputStream in = mSocket.getInputStream();
            while (in.read(buffer) >= 0) {
                TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MS);
            }
        } catch (IOException | InterruptedException e) {
            // The test has ended.
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
