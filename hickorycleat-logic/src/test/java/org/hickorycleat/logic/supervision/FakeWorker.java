package org.hickorycleat.logic.supervision;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.port.ListingAnswer;
import org.hickorycleat.logic.port.OrderAnswer;
import org.hickorycleat.logic.port.RunOrder;
import org.hickorycleat.logic.port.WorkerRuntime;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;

/** A worker whose answers a test decides. */
final class FakeWorker implements WorkerRuntime {
    final List<RunOrder> mStarts = new ArrayList<>();
    final List<SingleSubject<OrderAnswer>> mStartAnswers = new ArrayList<>();
    final List<RunId> mStops = new ArrayList<>();
    final List<Integer> mPaces = new ArrayList<>();
    final List<Long> mListTokens = new ArrayList<>();
    final List<RunSample> mRunning = new ArrayList<>();
    final List<EndedRun> mEnded = new ArrayList<>();
    Optional<Long> mLeaseDeadline = Optional.empty();
    long mAcknowledged;
    long mStartedAtMs = 1_000;
    long mClockMs = 50_000;
    boolean mSilent;

    @Override
    public Single<OrderAnswer> start(RunOrder order) {
        mStarts.add(order);
        SingleSubject<OrderAnswer> answer = SingleSubject.create();
        mStartAnswers.add(answer);
        return answer;
    }

    @Override
    public Single<OrderAnswer> stop(RunId run, long fencingToken) {
        mStops.add(run);
        return Single.just(OrderAnswer.DONE);
    }

    @Override
    public Single<OrderAnswer> pace(RunId run, int percent, long fencingToken) {
        mPaces.add(percent);
        return Single.just(OrderAnswer.DONE);
    }

    @Override
    public Single<ListingAnswer> list(
            long fencingToken, Optional<Long> leaseDeadlineMs, long acknowledgedEnds, int waitMs) {
        mListTokens.add(fencingToken);
        if (mSilent) {
            return Single.error(new IllegalStateException("no answer"));
        }
        leaseDeadlineMs.ifPresent(deadline -> mLeaseDeadline = Optional.of(deadline));
        mAcknowledged = acknowledgedEnds;
        List<EndedRun> ended =
                mEnded.stream().filter(end -> end.number() > acknowledgedEnds).toList();
        return Single.just(
                new ListingAnswer(false, mStartedAtMs, mClockMs, List.copyOf(mRunning), ended));
    }
}
