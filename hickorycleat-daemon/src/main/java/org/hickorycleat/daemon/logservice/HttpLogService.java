package org.hickorycleat.daemon.logservice;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.logic.port.LogRecord;
import org.hickorycleat.logic.port.LogService;
import org.hickorycleat.logic.port.LogTruncatedException;
import org.hickorycleat.logic.port.LogUnavailableException;
import org.hickorycleat.model.identifier.StreamName;

/** HTTP client of the log service; disposing of a subscription cancels its request. */
public final class HttpLogService implements LogService, AutoCloseable {
    /**
     * A process follows the configuration stream, the stream of the entries and the streams of its
     * shards, each with one read and one append at a time. 32 covers the most shards that one entry
     * takes over when an availability zone fails.
     */
    private static final int MAXIMUM_CONCURRENT_REQUESTS = 32;

    private static final int GONE = 410;
    private static final MediaType BYTES = MediaType.get("application/octet-stream");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpUrl mBase;
    private final LogServiceTimeouts mTimeouts;
    private final OkHttpClient mClient;

    /** Creates a client for an address such as {@code http://127.0.0.1:7000}. */
    public HttpLogService(String address, LogServiceTimeouts timeouts) {
        mBase = HttpUrl.get(address);
        mTimeouts = timeouts;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAXIMUM_CONCURRENT_REQUESTS);
        dispatcher.setMaxRequestsPerHost(MAXIMUM_CONCURRENT_REQUESTS);
        mClient =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(
                                new ConnectionPool(
                                        MAXIMUM_CONCURRENT_REQUESTS, 30, TimeUnit.SECONDS))
                        .connectTimeout(timeouts.connect())
                        .readTimeout(Duration.ZERO)
                        .writeTimeout(timeouts.response())
                        // An automatic retry of an append could write a duplicate record.
                        .retryOnConnectionFailure(false)
                        .build();
    }

    @Override
    public Single<Long> append(StreamName stream, byte[] payload) {
        Request request =
                new Request.Builder()
                        .url(recordsUrl(stream).build())
                        .post(RequestBody.create(payload, BYTES))
                        .build();
        return execute(request, mTimeouts.response(), HttpLogService::parseOffset);
    }

    @Override
    public Single<LogPage> read(StreamName stream, long fromOffset, int limit, Duration wait) {
        HttpUrl url =
                recordsUrl(stream)
                        .addQueryParameter("from", Long.toString(fromOffset))
                        .addQueryParameter("limit", Integer.toString(limit))
                        .addQueryParameter("wait_ms", Long.toString(wait.toMillis()))
                        .build();
        Request request = new Request.Builder().url(url).build();
        return execute(request, mTimeouts.response().plus(wait), HttpLogService::parsePage);
    }

    @Override
    public void close() {
        mClient.dispatcher().cancelAll();
        mClient.dispatcher().executorService().shutdown();
        mClient.connectionPool().evictAll();
    }

    private HttpUrl.Builder recordsUrl(StreamName stream) {
        return mBase.newBuilder()
                .addPathSegment("streams")
                .addPathSegment(stream.value())
                .addPathSegment("records");
    }

    /** Parses the body of a successful response. */
    private interface BodyReader<T> {
        T read(JsonNode body) throws IOException;
    }

    private <T> Single<T> execute(Request request, Duration timeout, BodyReader<T> reader) {
        return Single.create(
                emitter -> {
                    Call call = mClient.newCall(request);
                    call.timeout().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
                    emitter.setCancellable(call::cancel);
                    call.enqueue(new ResponseCallback<>(emitter, reader));
                });
    }

    private static final class ResponseCallback<T> implements Callback {
        private final SingleEmitter<T> mEmitter;
        private final BodyReader<T> mReader;

        private ResponseCallback(SingleEmitter<T> emitter, BodyReader<T> reader) {
            mEmitter = emitter;
            mReader = reader;
        }

        @Override
        public void onFailure(Call call, IOException exception) {
            mEmitter.tryOnError(
                    new LogUnavailableException(
                            "log service: " + exception.getMessage(), exception));
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                if (response.code() == GONE) {
                    long first =
                            nonNegativeLong(
                                    MAPPER.readTree(response.body().bytes()), "first_offset");
                    mEmitter.tryOnError(new LogTruncatedException(first));
                } else if (response.isSuccessful()) {
                    mEmitter.onSuccess(mReader.read(MAPPER.readTree(response.body().bytes())));
                } else {
                    mEmitter.tryOnError(
                            new LogUnavailableException(
                                    "log service responded with status " + response.code()));
                }
            } catch (IOException exception) {
                onFailure(call, exception);
            }
        }
    }

    private static long parseOffset(JsonNode body) throws IOException {
        return nonNegativeLong(body, "offset");
    }

    private static LogPage parsePage(JsonNode body) throws IOException {
        List<LogRecord> records = new ArrayList<>();
        for (JsonNode record : body.path("records")) {
            if (!record.path("payload").isTextual()) {
                throw new IOException("log record without payload");
            }
            records.add(
                    new LogRecord(
                            nonNegativeLong(record, "offset"),
                            nonNegativeLong(record, "timestamp_ms"),
                            record.path("payload").binaryValue()));
        }
        return new LogPage(
                nonNegativeLong(body, "first_offset"),
                nonNegativeLong(body, "next_offset"),
                records);
    }

    private static long nonNegativeLong(JsonNode body, String field) throws IOException {
        JsonNode value = body.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw new IOException("response without valid " + field);
        }
        return value.longValue();
    }
}
