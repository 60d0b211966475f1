package org.hickorycleat.daemon.worker;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.io.IOException;
import java.util.List;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.hickorycleat.logic.port.TaskUsage;
import org.hickorycleat.logic.port.WorkerControl;
import org.hickorycleat.logic.port.WorkerListing;
import org.hickorycleat.logic.port.WorkerRenewal;
import org.hickorycleat.logic.port.WorkerResponse;
import org.hickorycleat.logic.port.WorkerStart;
import org.hickorycleat.logic.port.WorkerUnavailableException;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.result.ResultCode;

/** Controls the worker over the HTTP interface that docs/interfaces-worker.md specifies. */
public final class HttpWorkerControl implements WorkerControl {
    private static final MediaType JSON = MediaType.get("application/json");

    private final OkHttpClient mClient;
    private final HttpUrl mBaseUrl;
    private final WorkerJsonCodec mCodec = new WorkerJsonCodec();

    /**
     * Creates the adapter.
     *
     * @param client HTTP client, used without its own retries: only the caller retries a command
     * @param baseUrl base URL of the worker
     */
    public HttpWorkerControl(OkHttpClient client, HttpUrl baseUrl) {
        mClient = client.newBuilder().retryOnConnectionFailure(false).build();
        mBaseUrl = baseUrl;
    }

    @Override
    public Single<WorkerListing> list() {
        return exchange(get("tasks"), WorkerJsonCodec::listing);
    }

    @Override
    public Single<WorkerResponse> start(WorkerStart start) {
        return exchange(post("start", mCodec.start(start)), WorkerJsonCodec::response);
    }

    @Override
    public Single<ResultCode> renew(WorkerRenewal renewal) {
        return exchange(post("renew", mCodec.renewal(renewal)), WorkerJsonCodec::resultCode);
    }

    @Override
    public Single<WorkerResponse> stop(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
        return exchange(
                post("stop", mCodec.attempt(shard, epoch, task, attempt)),
                WorkerJsonCodec::response);
    }

    @Override
    public Single<WorkerResponse> checkpoint(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
        return exchange(
                post("checkpoint", mCodec.attempt(shard, epoch, task, attempt)),
                WorkerJsonCodec::response);
    }

    @Override
    public Single<WorkerResponse> throttle(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt, int permille) {
        return exchange(
                post(
                        "throttle",
                        mCodec.attempt(shard, epoch, task, attempt).put("permille", permille)),
                WorkerJsonCodec::response);
    }

    @Override
    public Single<List<TaskUsage>> usage() {
        return exchange(get("usage"), WorkerJsonCodec::usage);
    }

    @Override
    public Single<ResultCode> fence(ShardNumber shard, Epoch epoch) {
        return exchange(post("fence", mCodec.fence(shard, epoch)), WorkerJsonCodec::resultCode);
    }

    private Request get(String path) {
        return new Request.Builder().url(url(path)).get().build();
    }

    private Request post(String path, JsonNode body) {
        return new Request.Builder()
                .url(url(path))
                .post(RequestBody.create(body.toString(), JSON))
                .build();
    }

    private HttpUrl url(String path) {
        return mBaseUrl.newBuilder().addPathSegment(path).build();
    }

    private <T> Single<T> exchange(Request request, ResponseReader<T> reader) {
        return Single.create(
                emitter -> {
                    Call call = mClient.newCall(request);
                    emitter.setCancellable(call::cancel);
                    call.enqueue(new ResponseCallback<>(emitter, reader));
                });
    }

    private interface ResponseReader<T> {
        T read(JsonNode body) throws IOException;
    }

    /**
     * Emits the decoded response; anything but a readable 200, 404 or 409 leaves the outcome
     * unknown.
     */
    private final class ResponseCallback<T> implements Callback {
        private final SingleEmitter<T> mEmitter;
        private final ResponseReader<T> mReader;

        ResponseCallback(SingleEmitter<T> emitter, ResponseReader<T> reader) {
            mEmitter = emitter;
            mReader = reader;
        }

        @Override
        public void onFailure(Call call, IOException exception) {
            mEmitter.tryOnError(
                    new WorkerUnavailableException("no valid response from the worker", exception));
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                if (!isExpectedStatus(response.code())) {
                    mEmitter.tryOnError(
                            new WorkerUnavailableException(
                                    "unexpected response status " + response.code()));
                    return;
                }
                mEmitter.onSuccess(mReader.read(mCodec.parse(response.body().bytes())));
            } catch (IOException exception) {
                onFailure(call, exception);
            }
        }

        private boolean isExpectedStatus(int status) {
            return status == 200 || status == 404 || status == 409;
        }
    }
}
