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
    long mMaximumAnswerBytes = 4L << 20;

    InvocationServiceBuilder(TargetClient targetClient, Scheduler scheduler) {
        mTargetClient = targetClient;
        mScheduler = scheduler;
    }

    /** Sets the times within which a key is safe. */
    public InvocationServiceBuilder keyValidity(KeyValidity keyValidity) {
        mKeyValidity = keyValidity;
        return this;
    }

    /** Sets the number of shards. */
    public InvocationServiceBuilder shards(int shards) {
        mShards = shards;
        return this;
    }

    /** Sets the number of keys that are remembered at most; more are refused. */
    public InvocationServiceBuilder maximumKeyRecords(int maximumKeyRecords) {
        mMaximumKeyRecords = maximumKeyRecords;
        return this;
    }

    /**
     * Sets the memory of answers of keys; new keys are refused when less than the largest answer is
     * left. Answers that are under way at that moment may exceed it.
     */
    public InvocationServiceBuilder maximumKeyBytes(long maximumKeyBytes) {
        mMaximumKeyBytes = maximumKeyBytes;
        return this;
    }

    /**
     * Sets the memory of answers kept until acknowledged; of an answer beyond it, only the fact
     * that the request ended is kept.
     */
    public InvocationServiceBuilder maximumAnswerBytes(long maximumAnswerBytes) {
        mMaximumAnswerBytes = maximumAnswerBytes;
        return this;
    }

    /** Builds the service; the first target is added by {@link InvocationService#configure}. */
    public InvocationService build() {
        return new InvocationService(this);
    }
}
