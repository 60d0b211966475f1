package org.hickorycleat.daemon.worker;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.hickorycleat.logic.port.WorkerListing;
import org.hickorycleat.logic.port.WorkerRenewal;
import org.hickorycleat.logic.port.WorkerResponse;
import org.hickorycleat.logic.port.WorkerStart;
import org.hickorycleat.logic.port.WorkerTask;
import org.hickorycleat.logic.port.WorkerUnavailableException;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.message.TaskAttempt;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskState;
import org.hickorycleat.standins.worker.AttemptEvent;
import org.hickorycleat.standins.worker.SimulatedWorker;
import org.hickorycleat.standins.worker.WorkerOptions;
import org.hickorycleat.standins.worker.WorkerServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpWorkerControlTest {
    private static final ShardNumber SHARD = new ShardNumber(0);
    private static final TaskId TASK = new TaskId("job#r");
    private static final Resources UNIT = new Resources(1_000, 1_000, 0);

    private final AtomicLong mClockMs = new AtomicLong(1_000);
    private final SimulatedWorker mWorker =
            new SimulatedWorker(
                    new WorkerOptions(
                            new WorkerId("w"), new RackId("r"), UNIT.plus(UNIT), 1_000, 5_000),
                    mClockMs::get,
                    mClockMs::get);
    private final WorkerServer mServer = new WorkerServer(mWorker, 0);
    private final OkHttpClient mClient = new OkHttpClient();
    private final HttpUrl mBase = HttpUrl.get("http://127.0.0.1:" + mServer.port());
    private final HttpWorkerControl mControl = new HttpWorkerControl(mClient, mBase);

    @AfterEach
    void stop() {
        mServer.close();
        mClient.connectionPool().evictAll();
        mClient.dispatcher().executorService().shutdown();
    }

    /** Guards against fields that are lost or swapped between the adapter and the worker. */
    @Test
    void startsCheckpointsAndStopsTask() {
        assertThat(get(mControl.start(start(7, 1, 20_000))).code()).isEqualTo(ResultCode.OK);
        mClockMs.addAndGet(2_000);

        WorkerTask saved = task(mControl.checkpoint(SHARD, new Epoch(7), TASK, attempt(1)));
        WorkerTask stopped = task(mControl.stop(SHARD, new Epoch(7), TASK, attempt(1)));
        WorkerListing listing = get(mControl.list());

        assertThat(saved.progressMs()).isEqualTo(2_000);
        assertThat(saved.checkpoint()).contains("job#r@2000");
        assertThat(stopped.state()).isEqualTo(TaskState.STOPPED);
        assertThat(listing.tasks()).containsExactly(stopped);
        assertThat(listing.capacity()).isEqualTo(UNIT.plus(UNIT));
        assertThat(listing.clockMs()).isEqualTo(3_000);
    }

    /** Guards against a previous owner whose commands are still executed. */
    @Test
    void rejectsLowerEpochs() {
        assertThat(get(mControl.fence(SHARD, new Epoch(9)))).isEqualTo(ResultCode.OK);

        assertThat(get(mControl.start(start(8, 1, 20_000))).code())
                .isEqualTo(ResultCode.STALE_EPOCH);
        assertThat(get(mControl.fence(SHARD, new Epoch(8)))).isEqualTo(ResultCode.STALE_EPOCH);
        assertThat(get(mControl.list()).tasks()).isEmpty();
    }

    /** Guards against attempts that run again after a delayed or duplicate start. */
    @Test
    void startsNoAttemptTwice() {
        assertThat(get(mControl.stop(SHARD, new Epoch(1), TASK, attempt(2))).code())
                .isEqualTo(ResultCode.OK);

        WorkerResponse duplicate = get(mControl.start(start(1, 2, 20_000)));
        WorkerResponse older = get(mControl.start(start(1, 1, 20_000)));

        assertThat(duplicate.task().orElseThrow().state()).isEqualTo(TaskState.STOPPED);
        assertThat(older.code()).isEqualTo(ResultCode.STALE_ATTEMPT);
        assertThat(mWorker.events()).isEmpty();
    }

    /** Guards against a task that runs on after its lease, and a late renewal that restarts it. */
    @Test
    void endsTasksAfterLeaseExpiry() {
        get(mControl.start(start(1, 1, 5_000)));
        renewLeaseUntil(9_000);
        mClockMs.set(8_000);
        assertThat(state()).isEqualTo(TaskState.RUNNING);

        mClockMs.set(9_000);
        renewLeaseUntil(20_000);

        assertThat(state()).isEqualTo(TaskState.EXPIRED);
        assertThat(mWorker.events().stream().map(AttemptEvent::event))
                .containsExactly("start", "expire");
    }

    /**
     * Guards against a start that reaches a worker which has lost its record of earlier attempts.
     */
    @Test
    void rejectsStartsForPreviousIncarnation() {
        WorkerStart start = start(1, 1, 20_000);
        mWorker.restart();

        assertThat(get(mControl.start(start)).code()).isEqualTo(ResultCode.LEASE_EXPIRED);
        assertThat(mWorker.events()).isEmpty();
    }

    /** Guards against an unknown outcome that is treated as a rejection. */
    @Test
    void reportsUnknownOutcomeWhenResponseIsLost() throws IOException {
        postControl("{\"lost_answers\": 1}");

        Single<WorkerResponse> lost = mControl.start(start(1, 1, 20_000));

        assertThatThrownBy(() -> get(lost)).hasCauseInstanceOf(WorkerUnavailableException.class);
        assertThat(state()).isEqualTo(TaskState.RUNNING);
    }

    /** Guards against usage that is reported earlier than a real worker would report it. */
    @Test
    void reportsUsageWithDelay() {
        get(mControl.start(start(1, 1, 20_000)));
        assertThat(get(mControl.usage())).isEmpty();
    }

    private void renewLeaseUntil(long untilMs) {
        get(
                mControl.renew(
                        new WorkerRenewal(
                                SHARD,
                                new Epoch(1),
                                mWorker.incarnation(),
                                List.of(new TaskAttempt(SHARD, TASK, attempt(1))),
                                untilMs)));
    }

    private TaskState state() {
        return get(mControl.list()).tasks().get(0).state();
    }

    private void postControl(String body) throws IOException {
        Request request =
                new Request.Builder()
                        .url(mBase.newBuilder().addPathSegment("control").build())
                        .post(RequestBody.create(body, MediaType.get("application/json")))
                        .build();
        try (Response response = mClient.newCall(request).execute()) {
            assertThat(response.code()).isEqualTo(200);
        }
    }

    private WorkerStart start(long epoch, long attempt, long untilMs) {
        return new WorkerStart(
                SHARD,
                new Epoch(epoch),
                mWorker.incarnation(),
                TASK,
                attempt(attempt),
                UNIT,
                untilMs,
                60_000,
                Optional.empty());
    }

    private static AttemptNumber attempt(long number) {
        return new AttemptNumber(number);
    }

    private static WorkerTask task(Single<WorkerResponse> response) {
        return get(response).task().orElseThrow();
    }

    private static <T> T get(Single<T> response) {
        return response.timeout(10, TimeUnit.SECONDS).blockingGet();
    }
}
