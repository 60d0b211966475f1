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
import org.hickorycleat.logic.port.WorkerAnswer;
import org.hickorycleat.logic.port.WorkerControl;
import org.hickorycleat.logic.port.WorkerListing;
import org.hickorycleat.logic.port.WorkerRenewal;
import org.hickorycleat.logic.port.WorkerStart;
import org.hickorycleat.logic.port.WorkerUnavailableException;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.result.ResultCode;

/** Worker reached over HTTP as docs/interfaces-worker.md describes it. */
public final class HttpWorkerControl implements WorkerControl {
    private static final MediaType JSON = MediaType.get("application/json");

    private final OkHttpClient mClient;
    private final HttpUrl mBase;
    private final WorkerJsonCodec mBodies = new WorkerJsonCodec();

    /**
     * Creates the adapter.
     *
     * @param client client; a command is repeated by the caller, never by the client
     * @param base address of the worker
     */
    public HttpWorkerControl(OkHttpClient client, HttpUrl base) {
        mClient = client.newBuilder().retryOnConnectionFailure(false).build();
        mBase = base;
    }

    @Override
    public Single<WorkerListing> list() {
        return exchange(get("tasks"), WorkerJsonCodec::listing);
    }

    @Override
    public Single<WorkerAnswer> start(WorkerStart start) {
        return exchange(post("start", mBodies.start(start)), WorkerJsonCodec::answer);
    }

    @Override
    public Single<ResultCode> renew(WorkerRenewal renewal) {
        return exchange(post("renew", mBodies.renewal(renewal)), WorkerJsonCodec::code);
    }

    @Override
    public Single<WorkerAnswer> stop(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
        return exchange(
                post("stop", mBodies.attempt(shard, epoch, task, attempt)),
                WorkerJsonCodec::answer);
    }

    @Override
    public Single<WorkerAnswer> checkpoint(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
        return exchange(
                post("checkpoint", mBodies.attempt(shard, epoch, task, attempt)),
                WorkerJsonCodec::answer);
    }

    @Override
    public Single<WorkerAnswer> throttle(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt, int permille) {
        return exchange(
                post(
                        "throttle",
                        mBodies.attempt(shard, epoch, task, attempt).put("permille", permille)),
                WorkerJsonCodec::answer);
    }

    @Override
    public Single<List<TaskUsage>> usage() {
        return exchange(get("usage"), WorkerJsonCodec::usage);
    }

    @Override
    public Single<ResultCode> fence(ShardNumber shard, Epoch epoch) {
        return exchange(post("fence", mBodies.fence(shard, epoch)), WorkerJsonCodec::code);
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
        return mBase.newBuilder().addPathSegment(path).build();
    }

    private <T> Single<T> exchange(Request request, AnswerReader<T> reader) {
        return Single.create(
                emitter -> {
                    Call call = mClient.newCall(request);
                    emitter.setCancellable(call::cancel);
                    call.enqueue(new Receiver<>(emitter, reader));
                });
    }

    private interface AnswerReader<T> {
        T read(JsonNode answer) throws IOException;
    }

    /** Hands the answer on; anything but a readable 200, 404 or 409 leaves the outcome unknown. */
    private final class Receiver<T> implements Callback {
        private final SingleEmitter<T> mEmitter;
        private final AnswerReader<T> mReader;

        Receiver(SingleEmitter<T> emitter, AnswerReader<T> reader) {
            mEmitter = emitter;
            mReader = reader;
        }

        @Override
        public void onFailure(Call call, IOException exception) {
            mEmitter.tryOnError(new WorkerUnavailableException("no answer", exception));
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                if (!isAnswer(response.code())) {
                    mEmitter.tryOnError(
                            new WorkerUnavailableException("status " + response.code()));
                    return;
                }
                mEmitter.onSuccess(mReader.read(mBodies.parse(response.body().bytes())));
            } catch (IOException exception) {
                onFailure(call, exception);
            }
        }

        private boolean isAnswer(int status) {
            return status == 200 || status == 404 || status == 409;
        }
    }
}
