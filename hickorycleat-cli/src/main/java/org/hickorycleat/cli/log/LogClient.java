package org.hickorycleat.cli.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Blocking client of the stream {@code configuration}. */
final class LogClient implements AutoCloseable {
    private static final int GONE = 410;
    private static final int PAGE = 100;
    private static final MediaType BYTES = MediaType.get("application/octet-stream");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpUrl mRecords;
    private final OkHttpClient mClient;

    LogClient(HttpUrl address, Duration timeout) {
        mRecords = address.newBuilder().addPathSegments("streams/configuration/records").build();
        mClient =
                new OkHttpClient.Builder()
                        .callTimeout(timeout)
                        // A silent retry of an append would add a second copy of its record.
                        .retryOnConnectionFailure(false)
                        .build();
    }

    void append(byte[] payload) throws IOException {
        Request request =
                new Request.Builder()
                        .url(mRecords)
                        .post(RequestBody.create(payload, BYTES))
                        .build();
        try (Response response = mClient.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new LogClientException("the append was answered " + response.code());
            }
        }
    }

    LogReadResult read(long from) throws IOException {
        HttpUrl url =
                mRecords.newBuilder()
                        .addQueryParameter("from", Long.toString(from))
                        .addQueryParameter("limit", Integer.toString(PAGE))
                        .build();
        Request request = new Request.Builder().url(url).build();
        try (Response response = mClient.newCall(request).execute()) {
            if (response.code() != GONE && !response.isSuccessful()) {
                throw new LogClientException("the read was answered " + response.code());
            }
            JsonNode body = MAPPER.readTree(response.body().bytes());
            JsonNode first = body.path("first_offset");
            if (!first.canConvertToLong()) {
                throw new LogClientException("the read was answered without first_offset");
            }
            return new LogReadResult(response.code() == GONE, first.longValue(), records(body));
        }
    }

    @Override
    public void close() {
        mClient.dispatcher().executorService().shutdown();
        mClient.connectionPool().evictAll();
    }

    private static List<LogReadResult.StreamRecord> records(JsonNode body) throws IOException {
        List<LogReadResult.StreamRecord> records = new ArrayList<>();
        for (JsonNode record : body.path("records")) {
            byte[] payload = record.path("payload").binaryValue();
            if (payload == null || !record.path("offset").canConvertToLong()) {
                throw new LogClientException("the read was answered with a broken record");
            }
            records.add(new LogReadResult.StreamRecord(record.path("offset").longValue(), payload));
        }
        return records;
    }
}
