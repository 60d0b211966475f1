package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.hickorycleat.cli.CommandFailure;
import org.hickorycleat.model.result.ResultCode;

/** Client of the admin HTTP interface of processes, which docs/interfaces.md describes. */
final class AdminClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int NOT_FOUND = 404;

    private final OkHttpClient mClient;

    AdminClient(Duration timeout) {
        mClient =
                new OkHttpClient.Builder()
                        .callTimeout(timeout)
                        .retryOnConnectionFailure(false)
                        .build();
    }

    Either<CommandFailure, JsonNode> get(AdminAddress address, String... path) {
        return execute(address, new Request.Builder().url(adminUrl(address, path)).build());
    }

    Either<CommandFailure, JsonNode> post(AdminAddress address, String... path) {
        RequestBody empty = RequestBody.create(new byte[0], null);
        return execute(
                address, new Request.Builder().url(adminUrl(address, path)).post(empty).build());
    }

    @Override
    public void close() {
        mClient.dispatcher().executorService().shutdown();
        mClient.connectionPool().evictAll();
    }

    private static HttpUrl adminUrl(AdminAddress address, String... path) {
        HttpUrl.Builder url = address.url().newBuilder().addPathSegment("admin");
        for (String segment : path) {
            url.addPathSegment(segment);
        }
        return url.build();
    }

    private Either<CommandFailure, JsonNode> execute(AdminAddress address, Request request) {
        try (Response response = mClient.newCall(request).execute()) {
            byte[] body = response.body().bytes();
            return response.isSuccessful()
                    ? Either.right(MAPPER.readTree(body))
                    : Either.left(toFailure(address, response.code(), body));
        } catch (IOException exception) {
            return Either.left(
                    new CommandFailure(
                            ResultCode.UNREACHABLE,
                            address.text() + ": " + exception.getMessage()));
        }
    }

    private static CommandFailure toFailure(AdminAddress address, int status, byte[] body) {
        ResultCode code = status == NOT_FOUND ? ResultCode.NOT_FOUND : ResultCode.INTERNAL;
        String detail = "responded with status " + status;
        try {
            JsonNode error = MAPPER.readTree(body).path("error");
            code = ResultCode.ofNumber(error.path("number").asInt(-1)).orElse(code);
            detail = error.path("detail").asText(detail);
        } catch (IOException exception) {
            detail = detail + " without a JSON error body";
        }
        return new CommandFailure(code, address.text() + ": " + detail);
    }
}
