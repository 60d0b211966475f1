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
 * Appends records to one stream, one at a time, and retries each until the log service confirms it.
 *
 * <p>After a lost response the stream is searched for the record, which is appended again under the
 * same identity only if it is not found. The first copy may still arrive after the search, so
 * readers discard duplicates with a {@link DuplicateFilter} or by a rule of their own.
 */
public final class IdempotentAppender {
    /**
     * Maximum number of queued appends; with more, the log service is too far behind to accept
     * another.
     */
    private static final int MAXIMUM_QUEUED_APPENDS = 1_000;

    private static final int SEARCH_PAGE_RECORDS = 500;

    private final LogService mLog;
    private final StreamName mStream;
    private final RecordIdReader mIdReader;
    private final ExponentialBackoff mBackoff;
    private final Random mRandom;
    private final Scheduler mScheduler;
    private final AtomicInteger mQueuedAppends = new AtomicInteger();
    private final FlowableProcessor<Completable> mQueue =
            UnicastProcessor.<Completable>create().toSerialized();

    /** Creates an appender; the scheduler provides the time for delays. */
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
     * Appends a record after all that were submitted before it, and returns its offset.
     *
     * <p>Retries until it succeeds or the result is disposed of, after which the record may still
     * be in the stream. Fails with {@link LogUnavailableException} only if too many appends are
     * queued.
     */
    public Single<Long> append(AppendRequest request) {
        return Single.defer(() -> enqueue(request));
    }

    private Single<Long> enqueue(AppendRequest request) {
        if (mQueuedAppends.incrementAndGet() > MAXIMUM_QUEUED_APPENDS) {
            mQueuedAppends.decrementAndGet();
            return Single.error(new LogUnavailableException("append queue is full"));
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
                        .doFinally(mQueuedAppends::decrementAndGet));
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
        return Single.defer(() -> delay(failures))
                .flatMap(delayed -> search(request.id(), request.searchFromOffset()))
                .flatMap(
                        found ->
                                found.map(Single::just)
                                        .orElseGet(() -> mLog.append(mStream, request.payload())))
                .retry(LogUnavailableException.class::isInstance);
    }

    private Single<Long> delay(AtomicInteger failures) {
        long delayMs;
        synchronized (mRandom) {
            delayMs = mBackoff.pauseMs(failures.incrementAndGet(), mRandom);
        }
        return Single.timer(delayMs, TimeUnit.MILLISECONDS, mScheduler);
    }

    /** Searches the stream from an offset to its end for the first copy of a record. */
    private Single<Optional<Long>> search(RecordId id, long searchFromOffset) {
        return Single.defer(
                () -> {
                    AtomicLong next = new AtomicLong(searchFromOffset);
                    return Maybe.defer(() -> searchPage(id, next))
                            .repeat()
                            .firstElement()
                            .toSingle();
                });
    }

    /** Searches one page; completes empty if the search must continue with the next page. */
    private Maybe<Optional<Long>> searchPage(RecordId id, AtomicLong next) {
        return mLog.read(mStream, next.get(), SEARCH_PAGE_RECORDS, Duration.ZERO)
                .flatMapMaybe(page -> findInPage(id, page, next))
                .onErrorResumeNext(
                        error -> {
                            if (error instanceof LogTruncatedException truncated) {
                                next.set(truncated.firstOffset());
                                return Maybe.empty();
                            }
                            return Maybe.error(error);
                        });
    }

    private Maybe<Optional<Long>> findInPage(RecordId id, LogPage page, AtomicLong next) {
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
