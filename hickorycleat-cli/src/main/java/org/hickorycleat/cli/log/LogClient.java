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

/** Blocking client of the log service for the stream {@code configuration}. */
final class LogClient implements AutoCloseable {
    private static final int GONE = 410;
    private static final int PAGE_SIZE_RECORDS = 100;
    private static final MediaType BYTES = MediaType.get("application/octet-stream");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpUrl mRecordsUrl;
    private final OkHttpClient mClient;

    LogClient(HttpUrl address, Duration timeout) {
        mRecordsUrl = address.newBuilder().addPathSegments("streams/configuration/records").build();
        mClient =
                new OkHttpClient.Builder()
                        .callTimeout(timeout)
                        // An automatic retry of an append could write a duplicate record.
                        .retryOnConnectionFailure(false)
                        .build();
    }

    void append(byte[] payload) throws IOException {
        Request request =
                new Request.Builder()
                        .url(mRecordsUrl)
                        .post(RequestBody.create(payload, BYTES))
                        .build();
        try (Response response = mClient.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new LogClientException(
                        "log service responded to the append with status " + response.code());
            }
        }
    }

    LogReadResult read(long from) throws IOException {
        HttpUrl url =
                mRecordsUrl
                        .newBuilder()
                        .addQueryParameter("from", Long.toString(from))
                        .addQueryParameter("limit", Integer.toString(PAGE_SIZE_RECORDS))
                        .build();
        Request request = new Request.Builder().url(url).build();
        try (Response response = mClient.newCall(request).execute()) {
            if (response.code() != GONE && !response.isSuccessful()) {
                throw new LogClientException(
                        "log service responded to the read with status " + response.code());
            }
            JsonNode body = MAPPER.readTree(response.body().bytes());
            JsonNode firstOffset = body.path("first_offset");
            if (!firstOffset.canConvertToLong()) {
                throw new LogClientException("response to the read has no first_offset");
            }
            return new LogReadResult(
                    response.code() == GONE, firstOffset.longValue(), parseRecords(body));
        }
    }

    @Override
    public void close() {
        mClient.dispatcher().executorService().shutdown();
        mClient.connectionPool().evictAll();
    }

    private static List<LogReadResult.StreamRecord> parseRecords(JsonNode body) throws IOException {
        List<LogReadResult.StreamRecord> records = new ArrayList<>();
        for (JsonNode record : body.path("records")) {
            byte[] payload = record.path("payload").binaryValue();
            if (payload == null || !record.path("offset").canConvertToLong()) {
                throw new LogClientException("response to the read contains a malformed record");
            }
            records.add(new LogReadResult.StreamRecord(record.path("offset").longValue(), payload));
        }
        return records;
    }
}
