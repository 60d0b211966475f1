package org.hickorycleat.logic.supervision;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.RunListing;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskTraits;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.message.LeaseExtension;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;

/**
 * Guards against a listing that a later one has overtaken: it was taken for the newest, so the
 * owner started a task again whose run was still at work.
 */
class OvertakenListingTest {
    private static final Epoch EPOCH = new Epoch(5);
    private static final RunId RUN =
            new RunId(new TaskKey(new JobId("00000000000000aa"), 0, 0, 0), 1);

    private final TestScheduler mScheduler = new TestScheduler();
    private final FakeWorker mWorker = new FakeWorker();
    private final List<WorkerReport> mReports = new ArrayList<>();
    private final WorkerIncarnation mIncarnation =
            new WorkerIncarnation(new WorkerId("i-1"), 1_000);
    private final RunSupervisor mSupervisor =
            new RunSupervisor(
                    mWorker,
                    message -> {
                        if (message instanceof WorkerReport report) {
                            mReports.add(report);
                        }
                    },
                    mScheduler,
                    SupervisorSettings.of(10_000, 4_500),
                    100,
                    DecisionLog.NONE);

    /** Sends one listing before a start and one after it; the worker executed the start between. */
    OvertakenListingTest() {
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        mSupervisor.start();
        mSupervisor.onOwnerSession(EPOCH, 1);
        mSupervisor.onWorkerDescribed(
                new WorkerDescription(
                        mIncarnation,
                        new ServiceName("booking"),
                        new Resources(16_000, 64_000, 0),
                        List.of("a", "r1-1"),
                        false,
                        0,
                        1));
        mSupervisor.onLeaseExtension(
                new LeaseExtension(
                        EPOCH, lastReport().number(), 6_000, Optional.of(mIncarnation), 0));
        mWorker.mHoldsListings = true;
        mScheduler.advanceTimeBy(500, TimeUnit.MILLISECONDS);
        mSupervisor.onStartRun(
                new StartRun(
                        EPOCH,
                        1,
                        1,
                        mIncarnation,
                        RUN,
                        "payload",
                        Optional.empty(),
                        Optional.empty(),
                        new TaskTraits("image", true, 0, 1_000)));
        mWorker.mClockMs += 10;
        mWorker.mRunning.add(new RunSample(RUN, "", 0, 0));
        mWorker.mStartResponses.get(0).onError(new IllegalStateException("no response"));
        assertThat(mWorker.mHeldListings).hasSize(2);
    }

    private FakeWorker.HeldListing listingBeforeStart() {
        return mWorker.mHeldListings.get(0);
    }

    private FakeWorker.HeldListing listingAfterStart() {
        return mWorker.mHeldListings.get(1);
    }

    private WorkerReport lastReport() {
        return mReports.get(mReports.size() - 1);
    }

    @Test
    void keepsRunThatOnlyTheNewestListingContains() {
        listingAfterStart().deliver();
        listingBeforeStart().deliver();
        mSupervisor.onOwnerSession(EPOCH, 2);

        assertThat(lastReport().running()).extracting(RunSample::run).containsExactly(RUN);
    }

    @Test
    void appliesListingsThatArriveInTheirOrder() {
        listingBeforeStart().deliver();
        listingAfterStart().deliver();
        mSupervisor.onOwnerSession(EPOCH, 2);

        assertThat(lastReport().running()).extracting(RunSample::run).containsExactly(RUN);
        assertThat(lastReport().pending()).isEmpty();
    }

    /** The worker may make two listings within one millisecond. */
    @Test
    void keepsNewestOfTwoListingsWithTheSameClock() {
        FakeWorker.HeldListing sameClock =
                new FakeWorker.HeldListing(
                        new RunListing(
                                false,
                                mWorker.mStartedAtMs,
                                listingAfterStart().listing().clockMs(),
                                List.of(),
                                List.of(),
                                ListCompleteness.COMPLETE),
                        listingBeforeStart().response());
        listingAfterStart().deliver();
        sameClock.deliver();
        mSupervisor.onOwnerSession(EPOCH, 2);

        assertThat(lastReport().running()).extracting(RunSample::run).containsExactly(RUN);
    }
}
