package org.hickorycleat.logic.supervision;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.port.RunCommandResult;
import org.hickorycleat.logic.port.RunListing;
import org.hickorycleat.logic.port.StartRunCommand;
import org.hickorycleat.logic.port.WorkerRuntime;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;

/** A worker whose answers a test decides. */
final class FakeWorker implements WorkerRuntime {
    final List<StartRunCommand> mStarts = new ArrayList<>();
    final List<SingleSubject<RunCommandResult>> mStartAnswers = new ArrayList<>();
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
    public Single<RunCommandResult> start(StartRunCommand order) {
        mStarts.add(order);
        SingleSubject<RunCommandResult> answer = SingleSubject.create();
        mStartAnswers.add(answer);
        return answer;
    }

    @Override
    public Single<RunCommandResult> stop(RunId run, long fencingToken) {
        mStops.add(run);
        return Single.just(RunCommandResult.DONE);
    }

    @Override
    public Single<RunCommandResult> throttle(RunId run, int percent, long fencingToken) {
        mPaces.add(percent);
        return Single.just(RunCommandResult.DONE);
    }

    @Override
    public Single<RunListing> list(
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
                new RunListing(false, mStartedAtMs, mClockMs, List.copyOf(mRunning), ended));
    }
}
