package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.core.Single;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.logic.port.RepeatableResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Silences the open connections of a client while new connections work. */
class SilentConnectionsTest {
    private static final int TIMEOUT_MS = 600;
    private static final int WARM_UP_TIMEOUT_MS = 5_000;
    private static final int RESPONSE_TIME_MS = 50;
    private static final int REPEAT_MS = 200;
    private static final int SLOW_RESPONSE_TIME_MS = 400;
    private static final int CONCURRENT_CALLS = 4;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final NettyHttpClient mHttpClient = new NettyHttpClient(mEventLoops);
    private final AtomicInteger mRequests = new AtomicInteger();
    private volatile int mResponseTimeMs = RESPONSE_TIME_MS;
    private FaultyProxy mProxy;

    @BeforeEach
    void startServer() throws Exception {
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
        new NettyHttpServer(mEventLoops)
                .listen(
                        address,
                        request -> {
                            mRequests.incrementAndGet();
                            return Single.just(HttpResponse.of(200, new byte[0]))
                                    .delay(mResponseTimeMs, TimeUnit.MILLISECONDS);
                        });
        mProxy = new FaultyProxy(address);
    }

    @AfterEach
    void stop() throws Exception {
        mProxy.close();
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private HttpCall request(int timeoutMs) {
        return new HttpCall(mProxy.address(), "GET", "/", Map.of(), new byte[0], timeoutMs);
    }

    private RepeatableResponse callRepeatably(int timeoutMs) {
        return mHttpClient.callRepeatably(request(timeoutMs), REPEAT_MS).blockingGet();
    }

    /** Leaves as many connections idle as there are calls at a time. */
    private void openConnections() {
        List<Single<HttpResponse>> calls =
                IntStream.range(0, CONCURRENT_CALLS)
                        .mapToObj(i -> mHttpClient.call(request(WARM_UP_TIMEOUT_MS)))
                        .toList();
        Single.merge(calls).blockingSubscribe();
    }

    private boolean succeeds() {
        return mHttpClient
                .call(request(TIMEOUT_MS))
                .map(HttpResponse::isSuccess)
                .onErrorReturnItem(false)
                .blockingGet();
    }

    /** Guards against calls that time out one after another on connections that went silent. */
    @Test
    void callAfterTimeoutUsesNoConnectionSilentSinceBefore() {
        openConnections();
        mProxy.silenceOpenConnections();

        assertThat(succeeds()).isFalse();
        assertThat(succeeds()).isTrue();
    }

    /** Guards against a call that waits for its whole timeout on a connection that went silent. */
    @Test
    void repeatsCallOnNewConnectionWhenItsOwnIsSilent() {
        openConnections();
        mProxy.silenceOpenConnections();

        RepeatableResponse response = callRepeatably(TIMEOUT_MS);
        assertThat(response.response().isSuccess()).isTrue();
        assertThat(response.unansweredCopies()).isEqualTo(1);
        assertThat(succeeds()).isTrue();
    }

    /** Guards against a repetition that is made although the first request gets its response. */
    @Test
    void takesFirstResponseOfRepeatedCall() {
        openConnections();
        mRequests.set(0);
        mResponseTimeMs = SLOW_RESPONSE_TIME_MS;

        assertThat(callRepeatably(TIMEOUT_MS).response().isSuccess()).isTrue();
        assertThat(mRequests.get()).isEqualTo(2);
    }

    @Test
    void sendsCallOnNewConnectionOnce() {
        mResponseTimeMs = SLOW_RESPONSE_TIME_MS;

        RepeatableResponse response = callRepeatably(WARM_UP_TIMEOUT_MS);
        assertThat(response.response().isSuccess()).isTrue();
        assertThat(response.isOfOnlyCopy()).isTrue();
        assertThat(mRequests.get()).isEqualTo(1);
    }
}
