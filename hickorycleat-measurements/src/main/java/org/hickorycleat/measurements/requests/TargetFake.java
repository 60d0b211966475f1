package org.hickorycleat.measurements.requests;

import static java.util.concurrent.TimeUnit.MICROSECONDS;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;

/** Simulates a target and its agent as an entry sees them: slots, a queue and service times. */
final class TargetFake {
    static final int SLOTS = 8;
    static final int CONNECTIONS = 64;
    private static final long FAILURE_LATENCY_MICROS = 1_000;
    private static final double SLOW_FACTOR = 10;

    /** Spread of the log-normal service time; its p99 is 2.8 times its mean. */
    private static final double SERVICE_TIME_SIGMA = 0.5;

    private final TestScheduler mScheduler;
    private final SplittableRandom mRandom;
    private final double mMeanServiceMicros;
    private final Deque<QueuedRequest> mQueue = new ArrayDeque<>();
    private Behaviour mBehaviour = Behaviour.HEALTHY;
    private int mRunning;
    private double mAverageLatencyMicros;

    TargetFake(TestScheduler scheduler, SplittableRandom random, double meanServiceMicros) {
        mScheduler = scheduler;
        mRandom = random;
        mMeanServiceMicros = meanServiceMicros;
        mAverageLatencyMicros = meanServiceMicros;
    }

    /** How the target handles requests. */
    enum Behaviour {
        HEALTHY,
        SLOW,
        FAILING,
        PAUSED
    }

    /** Receives the response when it leaves the agent. */
    @FunctionalInterface
    interface ResponseListener {
        void onResponse(ResultCode code, LoadSignal load);
    }

    private record QueuedRequest(long deadlineMicros, ResponseListener listener) {}

    void setBehaviour(Behaviour behaviour) {
        mBehaviour = behaviour;
    }

    LoadSignal load() {
        return new LoadSignal(mRunning, mQueue.size(), Math.round(mAverageLatencyMicros));
    }

    void accept(long deadlineMicros, ResponseListener listener) {
        if (mRunning + mQueue.size() >= CONNECTIONS) {
            listener.onResponse(ResultCode.AGENT_QUEUE_FULL, load());
            return;
        }
        mQueue.add(new QueuedRequest(deadlineMicros, listener));
        startQueued();
    }

    private void startQueued() {
        while (mRunning < SLOTS && !mQueue.isEmpty()) {
            QueuedRequest next = mQueue.remove();
            if (nowMicros() >= next.deadlineMicros()) {
                next.listener().onResponse(ResultCode.DEADLINE_EXCEEDED, load());
            } else {
                start(next);
            }
        }
    }

    private void start(QueuedRequest request) {
        mRunning++;
        long remainingMicros = request.deadlineMicros() - nowMicros();
        long serviceMicros = drawServiceMicros();
        boolean timesOut = serviceMicros > remainingMicros;
        ResultCode result =
                mBehaviour == Behaviour.FAILING ? ResultCode.TARGET_FAILED : ResultCode.OK;
        mScheduler.scheduleDirect(
                () ->
                        complete(
                                request,
                                timesOut ? ResultCode.TARGET_TIMEOUT : result,
                                serviceMicros),
                Math.min(serviceMicros, remainingMicros),
                MICROSECONDS);
    }

    private void complete(QueuedRequest request, ResultCode code, long serviceMicros) {
        mRunning--;
        mAverageLatencyMicros +=
                0.1 * (Math.min(serviceMicros, 10_000_000) - mAverageLatencyMicros);
        startQueued();
        request.listener().onResponse(code, load());
    }

    private long drawServiceMicros() {
        double logNormal =
                Math.exp(
                        SERVICE_TIME_SIGMA * mRandom.nextGaussian()
                                - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2);
        return switch (mBehaviour) {
            case HEALTHY -> Math.round(mMeanServiceMicros * logNormal);
            case SLOW -> Math.round(SLOW_FACTOR * mMeanServiceMicros * logNormal);
            case FAILING -> FAILURE_LATENCY_MICROS;
            case PAUSED -> Long.MAX_VALUE / 2;
        };
    }

    private long nowMicros() {
        return mScheduler.now(MICROSECONDS);
    }
}
