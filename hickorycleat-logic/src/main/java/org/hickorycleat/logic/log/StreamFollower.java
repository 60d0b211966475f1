package org.hickorycleat.logic.log;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.logic.port.LogService;
import org.hickorycleat.logic.port.LogTruncatedException;
import org.hickorycleat.model.identifier.StreamName;

/** Follows one stream by long polling and continues after outages. */
public final class StreamFollower {
    /**
     * Long-poll wait; long enough to make idle polling cheap, short enough to detect a dead
     * connection.
     */
    public static final Duration DEFAULT_WAIT = Duration.ofSeconds(10);

    private static final int PAGE_RECORDS = 500;

    /** Limits the rate of reads from a service that returns empty pages immediately. */
    private static final long EMPTY_PAGE_DELAY_MS = 20;

    private final LogService mLog;
    private final StreamName mStream;
    private final Duration mWait;
    private final ExponentialBackoff mBackoff;
    private final Random mRandom;
    private final Scheduler mScheduler;
    private volatile StreamHealth mHealth;
    private boolean mCaughtUp;

    /** Creates a follower that starts at an offset. */
    public StreamFollower(
            LogService log,
            StreamName stream,
            long fromOffset,
            Duration wait,
            ExponentialBackoff backoff,
            Random random,
            Scheduler scheduler) {
        mLog = log;
        mStream = stream;
        mWait = wait;
        mBackoff = backoff;
        mRandom = random;
        mScheduler = scheduler;
        mHealth = new StreamHealth(fromOffset, OptionalLong.empty(), 0, Optional.empty());
    }

    /**
     * Returns the events of the stream, which is read until disposed of; supports one subscriber.
     */
    public Flowable<StreamEvent> events() {
        return Maybe.defer(this::readNext).repeat();
    }

    /** Returns the health of the follower. */
    public StreamHealth health() {
        return mHealth;
    }

    private Maybe<StreamEvent> readNext() {
        Duration wait = mCaughtUp ? mWait : Duration.ZERO;
        return mLog.read(mStream, mHealth.nextOffset(), PAGE_RECORDS, wait)
                .flatMapMaybe(this::onPage)
                .onErrorResumeNext(this::onError);
    }

    private Maybe<StreamEvent> onPage(LogPage page) {
        long expected = mHealth.nextOffset();
        if (page.records().isEmpty() && page.nextOffset() < expected) {
            return retryLater(
                    "stream ends at offset "
                            + page.nextOffset()
                            + ", before expected offset "
                            + expected);
        }
        long next = page.records().isEmpty() ? expected : page.nextOffset();
        recordSuccess(next);
        if (!page.records().isEmpty()) {
            return Maybe.just(new StreamEvent.RecordsRead(page));
        }
        if (!mCaughtUp) {
            mCaughtUp = true;
            return Maybe.just(new StreamEvent.CaughtUp(next));
        }
        return delay(EMPTY_PAGE_DELAY_MS);
    }

    private Maybe<StreamEvent> onError(Throwable error) {
        if (error instanceof LogTruncatedException truncated) {
            recordSuccess(truncated.firstOffset());
            return Maybe.just(new StreamEvent.Truncated(truncated.firstOffset()));
        }
        return retryLater(String.valueOf(error.getMessage()));
    }

    private void recordSuccess(long nextOffset) {
        long now = mScheduler.now(TimeUnit.MILLISECONDS);
        mHealth = new StreamHealth(nextOffset, OptionalLong.of(now), 0, Optional.empty());
    }

    private Maybe<StreamEvent> retryLater(String error) {
        StreamHealth health = mHealth;
        int failures = health.failures() + 1;
        mHealth =
                new StreamHealth(
                        health.nextOffset(), health.lastSuccessMs(), failures, Optional.of(error));
        return delay(mBackoff.pauseMs(failures, mRandom));
    }

    private Maybe<StreamEvent> delay(long delayMs) {
        return Maybe.timer(delayMs, TimeUnit.MILLISECONDS, mScheduler).ignoreElement().toMaybe();
    }
}
