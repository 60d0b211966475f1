package org.hickorycleat.logic.retry;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.invocation.InvocationService;
import org.hickorycleat.logic.invocation.KeyValidity;
import org.hickorycleat.logic.invocation.TargetConfiguration;
import org.hickorycleat.logic.port.TargetNotReachedException;
import org.hickorycleat.logic.port.TargetResponse;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.Invoke;

/** Simulates one incarnation of an agent with its target. */
final class SimulatedAgent {
    static final int SLOTS = 2;
    static final int CONNECTIONS = 4;

    final ProcessId mId;
    final Incarnation mIncarnation;
    final InstanceNumber mInstance;
    final InvocationService mService;
    private final RequestOracle mOracle;
    private final TestScheduler mScheduler;
    private final Random mRandom;
    private boolean mAlive = true;
    private int mRunning;
    // Session numbers start again with every incarnation.
    long mSessions;

    SimulatedAgent(
            ProcessId id,
            Incarnation incarnation,
            InstanceNumber instance,
            KeyValidity keyValidity,
            RequestOracle oracle,
            TestScheduler scheduler,
            Random random) {
        mId = id;
        mIncarnation = incarnation;
        mInstance = instance;
        mOracle = oracle;
        mScheduler = scheduler;
        mRandom = random;
        mService =
                InvocationService.builder(this::exchange, scheduler)
                        .keyValidity(keyValidity)
                        .build();
    }

    void configure(RequestPipelineSimulation.Mapping mapping) {
        mService.configure(
                new TargetConfiguration(
                        RequestPipelineSimulation.SERVICE,
                        mInstance,
                        List.copyOf(mapping.instances()),
                        mapping.version(),
                        SLOTS,
                        CONNECTIONS));
    }

    TargetAddress address() {
        return new TargetAddress(mId, RequestPipelineSimulation.SERVICE, mInstance);
    }

    boolean alive() {
        return mAlive;
    }

    /** Kills the process: its timers have no effect from now on. */
    void kill() {
        mAlive = false;
    }

    void startDrain() {
        mService.startDrain();
    }

    private Single<TargetResponse> exchange(Invoke invoke) {
        if (!mAlive) {
            return Single.never();
        }
        if (mRandom.nextInt(10) == 0) {
            return Single.error(new TargetNotReachedException("refused", new Exception()));
        }
        mRunning++;
        if (mRunning > SLOTS) {
            mOracle.recordViolation(mRunning + " requests at " + mId);
        }
        byte[] response = mOracle.execute(invoke);
        // doFinally would run after the next request was started.
        return respond(response).doOnTerminate(() -> mRunning--).doOnDispose(() -> mRunning--);
    }

    private Single<TargetResponse> respond(byte[] response) {
        int outcome = mRandom.nextInt(10);
        if (outcome == 0) {
            return Single.never();
        }
        Single<Long> delay =
                Single.timer(1 + mRandom.nextInt(150), TimeUnit.MILLISECONDS, mScheduler);
        if (outcome == 1) {
            return delay.flatMap(tick -> Single.error(new IllegalStateException("reset")));
        }
        return delay.map(tick -> new TargetResponse(200, List.of(), response));
    }
}
