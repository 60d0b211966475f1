package org.hickorycleat.daemon.agent;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.hickorycleat.logic.port.ResponseTooLargeException;
import org.hickorycleat.logic.port.TargetClient;
import org.hickorycleat.logic.port.TargetNotReachedException;
import org.hickorycleat.logic.port.TargetResponse;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.message.HttpHeader;
import org.hickorycleat.model.message.Invoke;

/** HTTP client for the local targets of an agent. */
public final class HttpTargetClient implements TargetClient, AutoCloseable {
    /** Maximum size of a response body of a target, in bytes. */
    private static final int MAXIMUM_RESPONSE_BYTES = 512 << 10;

    /**
     * Far above the slots of a target, whose limits are enforced before a request reaches this
     * client.
     */
    private static final int MAXIMUM_CONNECTIONS = 1_024;

    private static final int KEEP_ALIVE_SECONDS = 60;
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    /** Headers that apply to a single connection and are not forwarded. */
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "transfer-encoding",
                    "te",
                    "trailer",
                    "upgrade",
                    "host",
                    "content-length",
                    "accept-encoding",
                    "expect");

    private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");

    private final Function<ServiceName, Optional<InetSocketAddress>> mAddresses;
    private final OkHttpClient mClient;

    /** Creates a client that looks up the address of the target for each request. */
    public HttpTargetClient(Function<ServiceName, Optional<InetSocketAddress>> addresses) {
        mAddresses = addresses;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAXIMUM_CONNECTIONS);
        dispatcher.setMaxRequestsPerHost(MAXIMUM_CONNECTIONS);
        mClient =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(
                                new ConnectionPool(
                                        MAXIMUM_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
                        .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                        // The call timeout enforces the deadline of each request.
                        .readTimeout(0, TimeUnit.MILLISECONDS)
                        .writeTimeout(0, TimeUnit.MILLISECONDS)
                        // An automatic retry could run a non-idempotent request twice.
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .build();
    }

    @Override
    public Single<TargetResponse> exchange(Invoke invoke) {
        return Single.create(emitter -> startCall(invoke, emitter));
    }

    @Override
    public void close() {
        mClient.dispatcher().executorService().shutdown();
        mClient.connectionPool().evictAll();
    }

    private void startCall(Invoke invoke, SingleEmitter<TargetResponse> emitter) {
        Optional<InetSocketAddress> address = mAddresses.apply(invoke.service());
        if (address.isEmpty()) {
            emitter.onError(
                    new TargetNotReachedException("no target announced", new IOException()));
            return;
        }
        Call call = mClient.newCall(newRequest(address.get(), invoke));
        call.timeout().timeout(Math.max(1, invoke.remainingMs()), TimeUnit.MILLISECONDS);
        emitter.setCancellable(call::cancel);
        call.enqueue(
                new Callback() {
                    @Override
                    public void onFailure(Call failedCall, IOException cause) {
                        emitter.tryOnError(toException(cause));
                    }

                    @Override
                    public void onResponse(Call completedCall, Response response) {
                        emitResponse(response, emitter);
                    }
                });
    }

    private static Exception toException(IOException cause) {
        if (cause instanceof ConnectException) {
            return new TargetNotReachedException("target refused the connection", cause);
        }
        if (cause instanceof InterruptedIOException) {
            // The call exceeded the deadline of the request.
            TimeoutException timeout = new TimeoutException("target did not answer in time");
            timeout.initCause(cause);
            return timeout;
        }
        return cause;
    }

    private static void emitResponse(Response response, SingleEmitter<TargetResponse> emitter) {
        try (ResponseBody body = response.body()) {
            if (body.source().request(MAXIMUM_RESPONSE_BYTES + 1L)) {
                emitter.tryOnError(new ResponseTooLargeException(MAXIMUM_RESPONSE_BYTES));
                return;
            }
            emitter.onSuccess(
                    new TargetResponse(response.code(), forwardedHeaders(response), body.bytes()));
        } catch (IOException e) {
            emitter.tryOnError(e);
        }
    }

    private static List<HttpHeader> forwardedHeaders(Response response) {
        List<HttpHeader> headers = new ArrayList<>();
        response.headers()
                .forEach(
                        header -> {
                            if (isForwarded(header.getFirst())) {
                                headers.add(new HttpHeader(header.getFirst(), header.getSecond()));
                            }
                        });
        return headers;
    }

    private static Request newRequest(InetSocketAddress address, Invoke invoke) {
        String host = address.getHostString() + ":" + address.getPort();
        Request.Builder builder = new Request.Builder().url("http://" + host + invoke.path());
        String contentType = "application/octet-stream";
        for (HttpHeader header : invoke.headers()) {
            if (header.name().equalsIgnoreCase("content-type")) {
                contentType = header.value();
            }
            if (isForwarded(header.name())) {
                builder.addHeader(header.name(), header.value());
            }
        }
        builder.header("Hickorycleat-Request-Id", invoke.request().toString());
        builder.header("Hickorycleat-Deadline-Ms", Long.toString(invoke.remainingMs()));
        boolean hasBody = invoke.body().length > 0 || METHODS_WITH_BODY.contains(invoke.method());
        builder.method(
                invoke.method(),
                hasBody ? RequestBody.create(invoke.body(), MediaType.parse(contentType)) : null);
        return builder.build();
    }

    private static boolean isForwarded(String header) {
        return !HOP_BY_HOP_HEADERS.contains(header.toLowerCase(Locale.ROOT));
    }
}
