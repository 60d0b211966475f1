package org.hickorycleat.logic.log;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.PublishSubject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.logic.port.LogRecord;
import org.hickorycleat.logic.port.LogService;
import org.hickorycleat.logic.port.LogTruncatedException;
import org.hickorycleat.logic.port.LogUnavailableException;
import org.hickorycleat.model.identifier.StreamName;

/** In-memory log service with one stream, retention by offset, outages and lost responses. */
public final class InMemoryLog implements LogService {
    private final List<byte[]> mPayloads = new ArrayList<>();
    private final PublishSubject<Boolean> mAppended = PublishSubject.create();
    private final Scheduler mScheduler;
    private int mFirstOffset;
    private boolean mIsDown;
    private BooleanSupplier mLosesResponse = () -> false;
    private int mReads;

    public InMemoryLog(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    public void setDown(boolean isDown) {
        mIsDown = isDown;
    }

    public void setLosesResponse(BooleanSupplier losesResponse) {
        mLosesResponse = losesResponse;
    }

    public void truncateBefore(int firstOffset) {
        mFirstOffset = Math.max(mFirstOffset, firstOffset);
    }

    public int firstOffset() {
        return mFirstOffset;
    }

    public int size() {
        return mPayloads.size();
    }

    public int reads() {
        return mReads;
    }

    public byte[] payload(int offset) {
        return mPayloads.get(offset);
    }

    public void add(byte[] payload) {
        mPayloads.add(payload);
        mAppended.onNext(true);
    }

    @Override
    public Single<Long> append(StreamName stream, byte[] payload) {
        return Single.defer(
                () -> {
                    if (mIsDown) {
                        return Single.error(new LogUnavailableException("down"));
                    }
                    add(payload);
                    return mLosesResponse.getAsBoolean()
                            ? Single.error(new LogUnavailableException("response lost"))
                            : Single.just(mPayloads.size() - 1L);
                });
    }

    @Override
    public Single<LogPage> read(StreamName stream, long fromOffset, int limit, Duration wait) {
        return Single.defer(
                () -> {
                    mReads++;
                    if (mIsDown || fromOffset < mPayloads.size() || wait.isZero()) {
                        return response(fromOffset, limit);
                    }
                    return Observable.timer(wait.toMillis(), TimeUnit.MILLISECONDS, mScheduler)
                            .map(timer -> true)
                            .mergeWith(mAppended)
                            .firstOrError()
                            .flatMap(woken -> response(fromOffset, limit));
                });
    }

    private Single<LogPage> response(long fromOffset, int limit) {
        if (mIsDown) {
            return Single.error(new LogUnavailableException("down"));
        }
        return fromOffset < mFirstOffset
                ? Single.error(new LogTruncatedException(mFirstOffset))
                : Single.just(page(fromOffset, limit));
    }

    private LogPage page(long fromOffset, int limit) {
        List<LogRecord> records = new ArrayList<>();
        long next = Math.min(fromOffset, mPayloads.size());
        while (next < mPayloads.size() && records.size() < limit) {
            records.add(new LogRecord(next, 0, mPayloads.get((int) next)));
            next++;
        }
        return new LogPage(mFirstOffset, next, records);
    }
}
