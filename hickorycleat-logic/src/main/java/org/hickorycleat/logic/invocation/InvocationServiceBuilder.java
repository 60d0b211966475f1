package org.hickorycleat.logic.invocation;

import io.reactivex.rxjava3.core.Scheduler;
import org.hickorycleat.logic.port.TargetClient;

/** Builds an {@link InvocationService}. */
public final class InvocationServiceBuilder {
    final TargetClient mTargetClient;
    final Scheduler mScheduler;
    KeyValidity mKeyValidity = KeyValidity.STANDARD;
    int mShards = 16;
    int mMaximumKeyRecords = 16_384;
    long mMaximumKeyBytes = 8L << 20;
    long mMaximumResponseBytes = 4L << 20;

    InvocationServiceBuilder(TargetClient targetClient, Scheduler scheduler) {
        mTargetClient = targetClient;
        mScheduler = scheduler;
    }

    /** Sets the validity of idempotency keys. */
    public InvocationServiceBuilder keyValidity(KeyValidity keyValidity) {
        mKeyValidity = keyValidity;
        return this;
    }

    /** Sets the number of shards of the records. */
    public InvocationServiceBuilder shards(int shards) {
        mShards = shards;
        return this;
    }

    /** Sets the maximum number of key records; further new keys are rejected. */
    public InvocationServiceBuilder maximumKeyRecords(int maximumKeyRecords) {
        mMaximumKeyRecords = maximumKeyRecords;
        return this;
    }

    /**
     * Sets the memory for responses of keys; new keys are rejected if less than the largest
     * response is left. Responses of running requests may exceed the maximum.
     */
    public InvocationServiceBuilder maximumKeyBytes(long maximumKeyBytes) {
        mMaximumKeyBytes = maximumKeyBytes;
        return this;
    }

    /**
     * Sets the memory for responses that are not acknowledged yet. For a response that exceeds it,
     * only the fact that the request ended is kept.
     */
    public InvocationServiceBuilder maximumResponseBytes(long maximumAnswerBytes) {
        mMaximumResponseBytes = maximumAnswerBytes;
        return this;
    }

    /** Builds the service; the first target is added by {@link InvocationService#configure}. */
    public InvocationService build() {
        return new InvocationService(this);
    }
}
