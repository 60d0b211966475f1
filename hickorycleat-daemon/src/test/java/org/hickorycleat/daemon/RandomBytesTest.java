package org.hickorycleat.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.logging.Level;
import org.hickorycleat.daemon.agent.AgentProcess;
import org.hickorycleat.daemon.entry.EntryProcess;
import org.hickorycleat.daemon.settings.AgentSettings;
import org.hickorycleat.daemon.settings.DaemonSettings;
import org.hickorycleat.daemon.settings.EntrySettings;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RandomBytesTest {
    private static final int CONNECTIONS = 150;
    private static final int MAXIMUM_BYTES = 2_000;

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final InetSocketAddress mEntryAdmin = freeAddress();
    private final InetSocketAddress mCallerListen = freeAddress();
    private final InetSocketAddress mPeerListen = freeAddress();
    private final InetSocketAddress mAgentAdmin = freeAddress();
    private final EntryProcess mEntry =
            new EntryProcess(
                    settings("entry-1", mEntryAdmin),
                    entrySettings(),
                    new Incarnation(1),
                    Schedulers.computation());
    private final AgentProcess mAgent =
            new AgentProcess(
                    settings("agent-1", mAgentAdmin),
                    agentSettings(),
                    new Incarnation(2),
                    Schedulers.computation());

    @BeforeEach
    void start() throws InterruptedException {
        mEntry.start();
        mAgent.start();
    }

    @AfterEach
    void stop() {
        mAgent.close();
        mEntry.close();
    }

    /** Guards against a port that stops serving after it received malformed input. */
    @Test
    void everyPortKeepsServingAfterRandomBytes() throws Exception {
        Random random = new Random(42);
        for (InetSocketAddress socketAddress :
                List.of(mEntryAdmin, mCallerListen, mPeerListen, mAgentAdmin)) {
            for (int i = 0; i < CONNECTIONS; i++) {
                sendRandomBytes(socketAddress, random);
            }
        }

        assertThat(status(mEntryAdmin, "/health")).isEqualTo(200);
        assertThat(status(mAgentAdmin, "/health")).isEqualTo(200);
        // Without a configuration the request is rejected, but with a response.
        assertThat(status(mCallerListen, "/services/any/path")).isEqualTo(503);
        assertThat(body(mEntryAdmin, "/metrics")).contains("hickorycleat_transport_errors_total");
        assertThat(body(mAgentAdmin, "/admin/status")).contains("\"process\":\"entry-1\"");
    }

    private static void sendRandomBytes(InetSocketAddress socketAddress, Random random)
            throws IOException {
        byte[] bytes = new byte[1 + random.nextInt(MAXIMUM_BYTES)];
        random.nextBytes(bytes);
        try (Socket socket = new Socket(socketAddress.getAddress(), socketAddress.getPort())) {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        } catch (java.net.SocketException e) {
            // The process may close the connection before all bytes are written; this is allowed.
        }
    }

    private int status(InetSocketAddress socketAddress, String path) throws Exception {
        return get(socketAddress, path).statusCode();
    }

    private String body(InetSocketAddress socketAddress, String path) throws Exception {
        return get(socketAddress, path).body();
    }

    private HttpResponse<String> get(InetSocketAddress socketAddress, String path)
            throws Exception {
        URI address = URI.create("http://127.0.0.1:" + socketAddress.getPort() + path);
        return mClient.send(
                HttpRequest.newBuilder(address).timeout(Duration.ofSeconds(20)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private EntrySettings entrySettings() {
        // No process listens on this port, as if the log service were down.
        String logService = "http://127.0.0.1:" + freeAddress().getPort();
        return new EntrySettings(mCallerListen, mPeerListen, List.of(), logService);
    }

    private AgentSettings agentSettings() {
        return new AgentSettings(List.of(mPeerListen), 8, Duration.ofSeconds(60), Optional.empty());
    }

    private static DaemonSettings settings(String process, InetSocketAddress admin) {
        return new DaemonSettings(
                new ProcessId(process),
                new ZoneId("north-a"),
                admin,
                Duration.ofSeconds(1),
                Level.INFO,
                Optional.empty(),
                Optional.empty());
    }

    private static InetSocketAddress freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
