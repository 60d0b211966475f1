package org.hickorycleat.logic.log;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.UnicastProcessor;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.logic.port.LogRecord;
import org.hickorycleat.logic.port.LogService;
import org.hickorycleat.logic.port.LogTruncatedException;
import org.hickorycleat.logic.port.LogUnavailableException;
import org.hickorycleat.model.identifier.RecordId;
import org.hickorycleat.model.identifier.StreamName;

/**
 * Appends records to one stream, one at a time, until the log service confirms each.
 *
 * <p>After a lost answer the record is looked for in the stream and appended again under the same
 * identity only if it is not there. The first copy may still arrive after the search, so readers
 * drop second copies with a {@link DuplicateFilter} or by a rule of their own.
 */
public final class IdempotentAppender {
    /** Appends waiting beyond this number are refused: the log service is far behind. */
    private static final int MAXIMUM_WAITING = 1_000;

    private static final int SEARCH_PAGE = 500;

    private final LogService mLog;
    private final StreamName mStream;
    private final RecordIdReader mIdReader;
    private final ExponentialBackoff mBackoff;
    private final Random mRandom;
    private final Scheduler mScheduler;
    private final AtomicInteger mWaiting = new AtomicInteger();
    private final FlowableProcessor<Completable> mQueue =
            UnicastProcessor.<Completable>create().toSerialized();

    /** Creates an appender; time comes from the scheduler. */
    public IdempotentAppender(
            LogService log,
            StreamName stream,
            RecordIdReader idReader,
            ExponentialBackoff backoff,
            Random random,
            Scheduler scheduler) {
        mLog = log;
        mStream = stream;
        mIdReader = idReader;
        mBackoff = backoff;
        mRandom = random;
        mScheduler = scheduler;
        mQueue.concatMapCompletable(append -> append).onErrorComplete().subscribe();
    }

    /**
     * Appends a record after those that were handed over before it, and returns its offset.
     *
     * <p>Tries until it succeeds or the result is disposed of; the record may be in the stream
     * after that. Fails with {@link LogUnavailableException} only if too many records wait.
     */
    public Single<Long> append(AppendRequest request) {
        return Single.defer(() -> enqueue(request));
    }

    private Single<Long> enqueue(AppendRequest request) {
        if (mWaiting.incrementAndGet() > MAXIMUM_WAITING) {
            mWaiting.decrementAndGet();
            return Single.error(new LogUnavailableException("too many appends are waiting"));
        }
        SingleSubject<Long> result = SingleSubject.create();
        SingleSubject<Boolean> disposed = SingleSubject.create();
        mQueue.onNext(
                appendUntilConfirmed(request)
                        .doOnSuccess(result::onSuccess)
                        .doOnError(result::onError)
                        .ignoreElement()
                        .onErrorComplete()
                        .takeUntil(disposed.ignoreElement())
                        .doFinally(mWaiting::decrementAndGet));
        return result.doOnDispose(() -> disposed.onSuccess(true));
    }

    private Single<Long> appendUntilConfirmed(AppendRequest request) {
        return Single.defer(
                () -> {
                    AtomicInteger failures = new AtomicInteger();
                    return mLog.append(mStream, request.payload())
                            .onErrorResumeNext(error -> searchThenAppend(request, failures, error));
                });
    }

    private Single<Long> searchThenAppend(
            AppendRequest request, AtomicInteger failures, Throwable error) {
        if (!(error instanceof LogUnavailableException)) {
            return Single.error(error);
        }
        return Single.defer(() -> pause(failures))
                .flatMap(paused -> search(request.id(), request.searchFromOffset()))
                .flatMap(
                        found ->
                                found.map(Single::just)
                                        .orElseGet(() -> mLog.append(mStream, request.payload())))
                .retry(LogUnavailableException.class::isInstance);
    }

    private Single<Long> pause(AtomicInteger failures) {
        long pauseMs;
        synchronized (mRandom) {
            pauseMs = mBackoff.pauseMs(failures.incrementAndGet(), mRandom);
        }
        return Single.timer(pauseMs, TimeUnit.MILLISECONDS, mScheduler);
    }

    /** Reads from an offset to the end of the stream until it finds the first copy. */
    private Single<Optional<Long>> search(RecordId id, long searchFrom) {
        return Single.defer(
                () -> {
                    AtomicLong next = new AtomicLong(searchFrom);
                    return Maybe.defer(() -> searchPage(id, next))
                            .repeat()
                            .firstElement()
                            .toSingle();
                });
    }

    /** Completes empty if the search must go on with the next page. */
    private Maybe<Optional<Long>> searchPage(RecordId id, AtomicLong next) {
        return mLog.read(mStream, next.get(), SEARCH_PAGE, Duration.ZERO)
                .flatMapMaybe(page -> inspect(id, page, next))
                .onErrorResumeNext(
                        error -> {
                            if (error instanceof LogTruncatedException truncated) {
                                next.set(truncated.firstOffset());
                                return Maybe.empty();
                            }
                            return Maybe.error(error);
                        });
    }

    private Maybe<Optional<Long>> inspect(RecordId id, LogPage page, AtomicLong next) {
        for (LogRecord record : page.records()) {
            if (mIdReader.read(record.payload()).filter(id::equals).isPresent()) {
                return Maybe.just(Optional.of(record.offset()));
            }
        }
        if (page.records().isEmpty()) {
            return Maybe.just(Optional.empty());
        }
        next.set(page.nextOffset());
        return Maybe.empty();
    }
}
