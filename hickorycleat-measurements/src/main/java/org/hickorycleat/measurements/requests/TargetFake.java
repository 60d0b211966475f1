package org.hickorycleat.measurements.requests;

import static java.util.concurrent.TimeUnit.MICROSECONDS;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;

/** A target with its agent at the interface of the entry: slots, a queue and service times. */
final class TargetFake {
    static final int SLOTS = 8;
    static final int CONNECTIONS = 64;
    private static final long FAILURE_MICROS = 1_000;
    private static final double SLOW_FACTOR = 10;

    /** Spread of the log-normal service time; its p99 is 2.8 times its mean. */
    private static final double SIGMA = 0.5;

    private final TestScheduler mScheduler;
    private final SplittableRandom mRandom;
    private final double mMeanMicros;
    private final Deque<Waiting> mQueue = new ArrayDeque<>();
    private Behaviour mBehaviour = Behaviour.HEALTHY;
    private int mRunning;
    private double mLatencyMicros;

    TargetFake(TestScheduler scheduler, SplittableRandom random, double meanMicros) {
        mScheduler = scheduler;
        mRandom = random;
        mMeanMicros = meanMicros;
        mLatencyMicros = meanMicros;
    }

    /** What the target does with requests. */
    enum Behaviour {
        HEALTHY,
        SLOW,
        FAILING,
        PAUSED
    }

    /** Receives the answer when it leaves the agent. */
    @FunctionalInterface
    interface AnswerListener {
        void onAnswer(ResultCode code, LoadSignal load);
    }

    private record Waiting(long deadlineMicros, AnswerListener listener) {}

    void setBehaviour(Behaviour behaviour) {
        mBehaviour = behaviour;
    }

    LoadSignal load() {
        return new LoadSignal(mRunning, mQueue.size(), Math.round(mLatencyMicros));
    }

    void accept(long deadlineMicros, AnswerListener listener) {
        if (mRunning + mQueue.size() >= CONNECTIONS) {
            listener.onAnswer(ResultCode.AGENT_QUEUE_FULL, load());
            return;
        }
        mQueue.add(new Waiting(deadlineMicros, listener));
        startWaiting();
    }

    private void startWaiting() {
        while (mRunning < SLOTS && !mQueue.isEmpty()) {
            Waiting next = mQueue.remove();
            if (nowMicros() >= next.deadlineMicros()) {
                next.listener().onAnswer(ResultCode.DEADLINE_EXCEEDED, load());
            } else {
                start(next);
            }
        }
    }

    private void start(Waiting request) {
        mRunning++;
        long remainingMicros = request.deadlineMicros() - nowMicros();
        long serviceMicros = serviceMicros();
        boolean late = serviceMicros > remainingMicros;
        ResultCode done =
                mBehaviour == Behaviour.FAILING ? ResultCode.TARGET_FAILED : ResultCode.OK;
        mScheduler.scheduleDirect(
                () -> end(request, late ? ResultCode.TARGET_TIMEOUT : done, serviceMicros),
                Math.min(serviceMicros, remainingMicros),
                MICROSECONDS);
    }

    private void end(Waiting request, ResultCode code, long serviceMicros) {
        mRunning--;
        mLatencyMicros += 0.1 * (Math.min(serviceMicros, 10_000_000) - mLatencyMicros);
        startWaiting();
        request.listener().onAnswer(code, load());
    }

    private long serviceMicros() {
        double logNormal = Math.exp(SIGMA * mRandom.nextGaussian() - SIGMA * SIGMA / 2);
        return switch (mBehaviour) {
            case HEALTHY -> Math.round(mMeanMicros * logNormal);
            case SLOW -> Math.round(SLOW_FACTOR * mMeanMicros * logNormal);
            case FAILING -> FAILURE_MICROS;
            case PAUSED -> Long.MAX_VALUE / 2;
        };
    }

    private long nowMicros() {
        return mScheduler.now(MICROSECONDS);
    }
}
