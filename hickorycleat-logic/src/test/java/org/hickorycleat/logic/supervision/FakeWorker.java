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
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;

/** Fake worker whose responses a test controls. */
final class FakeWorker implements WorkerRuntime {
    final List<StartRunCommand> mStarts = new ArrayList<>();
    final List<SingleSubject<RunCommandResult>> mStartResponses = new ArrayList<>();
    final List<RunId> mStops = new ArrayList<>();
    final List<Integer> mThrottlePercents = new ArrayList<>();
    final List<Long> mListTokens = new ArrayList<>();
    final List<RunSample> mRunning = new ArrayList<>();
    final List<EndedRun> mEnded = new ArrayList<>();
    Optional<Long> mLeaseDeadline = Optional.empty();
    final List<Optional<Long>> mAnsweredDeadlines = new ArrayList<>();
    long mAcknowledgedEndNumber;
    long mHighestOtherToken;
    long mStartedAtMs = 1_000;
    long mClockMs = 50_000;
    ListCompleteness mCompleteness = ListCompleteness.COMPLETE;
    boolean mUnresponsive;
    boolean mHoldsListings;
    final List<HeldListing> mHeldListings = new ArrayList<>();

    /** A listing whose response a test delivers. */
    record HeldListing(RunListing listing, SingleSubject<RunListing> response) {
        void deliver() {
            response.onSuccess(listing);
        }
    }

    @Override
    public Single<RunCommandResult> start(StartRunCommand command) {
        mStarts.add(command);
        SingleSubject<RunCommandResult> response = SingleSubject.create();
        mStartResponses.add(response);
        return response;
    }

    @Override
    public Single<RunCommandResult> stop(RunId run, long fencingToken) {
        mStops.add(run);
        return Single.just(RunCommandResult.DONE);
    }

    @Override
    public Single<RunCommandResult> throttle(RunId run, int percent, long fencingToken) {
        mThrottlePercents.add(percent);
        return Single.just(
                fencingToken < mHighestOtherToken
                        ? RunCommandResult.FENCED
                        : RunCommandResult.DONE);
    }

    @Override
    public Single<RunListing> list(
            long fencingToken,
            Optional<Long> leaseDeadlineMs,
            long acknowledgedEndNumber,
            int waitMs) {
        mListTokens.add(fencingToken);
        if (mUnresponsive) {
            return Single.error(new IllegalStateException("no response"));
        }
        mAnsweredDeadlines.add(leaseDeadlineMs);
        leaseDeadlineMs.ifPresent(deadline -> mLeaseDeadline = Optional.of(deadline));
        mAcknowledgedEndNumber = Math.max(mAcknowledgedEndNumber, acknowledgedEndNumber);
        mEnded.removeIf(end -> end.number() <= acknowledgedEndNumber);
        List<EndedRun> ended = List.copyOf(mEnded);
        RunListing listing =
                new RunListing(
                        false, mStartedAtMs, mClockMs, List.copyOf(mRunning), ended, mCompleteness);
        if (!mHoldsListings) {
            return Single.just(listing);
        }
        HeldListing held = new HeldListing(listing, SingleSubject.create());
        mHeldListings.add(held);
        return held.response();
    }
}
