package org.hickorycleat.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpCallException;
import org.hickorycleat.logic.port.HttpHandler;
import org.hickorycleat.logic.port.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpExchangeTest {
    private static final int TIMEOUT_MS = 300;
    private static final int SLOW_TIMEOUT_MS = 1_000;
    private static final int WARM_UP_TIMEOUT_MS = 5_000;
    private static final int PART_BYTES = 20_000;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final NettyHttpClient mHttpClient = new NettyHttpClient(mEventLoops);
    private final NettyHttpServer mServer = new NettyHttpServer(mEventLoops);

    @AfterEach
    void close() {
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private InetSocketAddress serve(HttpHandler handler) throws Exception {
        InetSocketAddress address = freeAddress();
        mServer.listen(address, handler);
        return address;
    }

    private TestObserver<HttpResponse> call(InetSocketAddress address, String target) {
        return call(address, target, TIMEOUT_MS);
    }

    private TestObserver<HttpResponse> call(
            InetSocketAddress address, String target, int timeoutMs) {
        byte[] body = "body".getBytes(StandardCharsets.UTF_8);
        return mHttpClient
                .call(new HttpCall(address, "POST", target, Map.of(), body, timeoutMs))
                .test()
                .awaitDone(5, TimeUnit.SECONDS);
    }

    @Test
    void transmitsCompleteRequestAndResponse() throws Exception {
        InetSocketAddress address =
                serve(request -> Single.just(HttpResponse.of(201, request.body())));

        HttpResponse response = call(address, "/path?x=1").values().get(0);

        assertThat(response.status()).isEqualTo(201);
        assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo("body");
    }

    @Test
    void servesManyCallsOnReusedConnections() throws Exception {
        InetSocketAddress address =
                serve(
                        request ->
                                Single.just(
                                        HttpResponse.of(
                                                200,
                                                request.path().getBytes(StandardCharsets.UTF_8))));
        for (int i = 0; i < 50; i++) {
            HttpResponse response = call(address, "/" + i).values().get(0);
            assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo("/" + i);
        }
    }

    @Test
    void timesOutWithoutResponseAndReportsThatRequestMayHaveBeenSent() throws Exception {
        InetSocketAddress address = serve(request -> Single.never());

        call(address, "/silent")
                .assertError(
                        error ->
                                error instanceof HttpCallException failure
                                        && failure.mayHaveBeenSent());
    }

    @Test
    void reportsThatNothingWasSentOverRefusedConnection() throws Exception {
        call(freeAddress(), "/")
                .assertError(
                        error ->
                                error instanceof HttpCallException failure
                                        && !failure.mayHaveBeenSent());
    }

    @Test
    void doesNotMatchLateResponseWithLaterCall() throws Exception {
        InetSocketAddress address =
                serve(
                        request ->
                                request.path().equals("/slow")
                                        ? Single.just(HttpResponse.of(500, new byte[0]))
                                                .delay(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS)
                                        : Single.just(HttpResponse.of(200, new byte[0])));
        call(address, "/slow").assertError(HttpCallException.class);
        Thread.sleep(2 * TIMEOUT_MS);

        assertThat(call(address, "/fast").values().get(0).status()).isEqualTo(200);
    }

    @Test
    void closesConnectionWhenHandlerFails() throws Exception {
        InetSocketAddress address = serve(request -> Single.error(new IOException("broken")));

        call(address, "/").assertError(HttpCallException.class);
        assertThat(mServer.requestsInProgress()).isZero();
    }

    /** Serves one response in parts of 20,000 bytes, and stops after some of them. */
    private static InetSocketAddress serveInParts(int length, int sentLength, int intervalMs)
            throws IOException {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Thread thread =
                new Thread(
                        () -> {
                            try (server;
                                    Socket socket = server.accept()) {
                                socket.getInputStream().read();
                                sendInParts(
                                        socket.getOutputStream(), length, sentLength, intervalMs);
                                socket.getInputStream().transferTo(OutputStream.nullOutputStream());
                            } catch (IOException | InterruptedException e) {
                                // The client closed the connection, which ends the thread.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    private static void sendInParts(OutputStream out, int length, int sentLength, int intervalMs)
            throws IOException, InterruptedException {
        String head = "HTTP/1.1 200 OK\r\ncontent-length: " + length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.UTF_8));
        byte[] part = new byte[PART_BYTES];
        for (int sent = 0; sent < sentLength; sent += part.length) {
            out.write(part);
            out.flush();
            Thread.sleep(intervalMs);
        }
    }

    /** Guards against giving up a large response over a slow link although it keeps arriving. */
    @Test
    void completesLargeResponseThatArrivesSteadily() throws Exception {
        // Loads the classes of the client, which may take longer than the timeout.
        InetSocketAddress other =
                serve(request -> Single.just(HttpResponse.of(200, request.body())));
        call(other, "/first", WARM_UP_TIMEOUT_MS).assertNoErrors();
        InetSocketAddress address = serveInParts(400_000, 400_000, SLOW_TIMEOUT_MS / 10);

        call(address, "/large", SLOW_TIMEOUT_MS)
                .assertNoErrors()
                .assertValue(response -> response.body().length == 400_000);
    }

    @Test
    void timesOutWhenServerStopsMidway() throws Exception {
        InetSocketAddress address = serveInParts(400_000, 40_000, 1);
        long startNanos = System.nanoTime();

        call(address, "/partial")
                .assertError(
                        error ->
                                error instanceof HttpCallException failure
                                        && failure.mayHaveBeenSent());
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isLessThan(4 * TIMEOUT_MS);
    }

    /** Guards against a server that holds a call for ever with a few bytes now and then. */
    @Test
    void timesOutWhenResponseTakesTooLongInTotal() throws Exception {
        InetSocketAddress address = serveInParts(400_000, 400_000, TIMEOUT_MS / 6);
        NettyHttpClient client = new NettyHttpClient(mEventLoops, 2 * TIMEOUT_MS, DecisionLog.NONE);
        HttpCall call = new HttpCall(address, "GET", "/trickle", Map.of(), new byte[0], TIMEOUT_MS);

        client.call(call)
                .test()
                .awaitDone(5, TimeUnit.SECONDS)
                .assertError(
                        error ->
                                error instanceof HttpCallException failure
                                        && failure.mayHaveBeenSent());
    }
}
