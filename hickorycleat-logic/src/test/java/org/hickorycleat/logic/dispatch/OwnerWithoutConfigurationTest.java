package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.WorkloadConfiguration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a new owner that takes the limits of a queue that it does not know for the
 * strictest ones: jobs were shown as failed after one failed run of four allowed.
 */
class OwnerWithoutConfigurationTest {
    private static final String JOB = "00000000000000aa";

    private final DispatchFixture mFormer = new DispatchFixture();
    private final DispatchFixture mNext = new DispatchFixture(Optional.empty());
    private final JobSubmission mSubmission;
    private final RunId mRun;
    private final long mSession;
    private final List<EndedRun> mEnds = new ArrayList<>();

    /** Changes the owner while a task runs. */
    OwnerWithoutConfigurationTest() {
        mFormer.connect(1);
        mSubmission = mFormer.submit(JOB, DispatchFixture.step(1, false));
        mRun = mFormer.run(0);
        JobProgress progress = mFormer.mPersisted.get(mFormer.mPersisted.size() - 1);
        mNext.mDispatcher.restoreJob(mSubmission, Optional.of(progress), false);
        mSession = mNext.mDispatcher.onAgentConnected(DispatchFixture.agent(1));
    }

    private void reportFailure(RunId run) {
        mEnds.add(new EndedRun(mEnds.size() + 1, run, EndCause.FAILED, ""));
        mNext.report(1, mSession, 1, mEnds.size(), List.of(), mEnds);
        mNext.advanceTime(200);
    }

    private void configure() {
        mNext.mDispatcher.onConfigurationChanged(
                DispatchFixture.configuration(DispatchFixture.queue()));
        mNext.advanceTime(200);
    }

    @Test
    void keepsJobWithFailedRunUntilItsQueueIsKnown() {
        reportFailure(mRun);
        assertThat(mNext.lastPublishedState(JOB)).contains(JobState.RUNNING);

        configure();
        mNext.report(1, mSession, 1, 0, List.of(), mEnds);
        assertThat(mNext.lastPublishedState(JOB)).contains(JobState.RUNNING);
        assertThat(mNext.mStarts).hasSize(1);

        reportFailure(mNext.run(0));
        assertThat(mNext.lastPublishedState(JOB)).contains(JobState.FAILED);
    }

    @Test
    void failsJobWithExhaustedAttemptsOnceItsQueueIsKnown() {
        reportFailure(mRun);
        reportFailure(new RunId(mRun.task(), 2));
        assertThat(mNext.lastPublishedState(JOB)).contains(JobState.RUNNING);

        configure();

        assertThat(mNext.lastPublishedState(JOB)).contains(JobState.FAILED);
        assertThat(mNext.mStarts).isEmpty();
    }

    @Test
    void failsRestoredJobWhoseAttemptsWereExhaustedUnderOwnerWithoutConfiguration() {
        reportFailure(mRun);
        reportFailure(new RunId(mRun.task(), 2));
        JobProgress progress = mNext.mPersisted.get(mNext.mPersisted.size() - 1);

        DispatchFixture third = new DispatchFixture();
        third.mDispatcher.restoreJob(mSubmission, Optional.of(progress), false);
        third.connect(1);
        third.advanceTime(200);

        assertThat(third.lastPublishedState(JOB)).contains(JobState.FAILED);
        assertThat(third.mStarts).isEmpty();
    }

    /** Guards against accepted jobs that wait for ever once their queue is no longer configured. */
    @Test
    void continuesJobOfRemovedQueue() {
        mNext.mDispatcher.onQueueAccepting(DispatchFixture.queue());
        mNext.mDispatcher.onConfigurationChanged(DispatchFixture.configuration());
        reportFailure(mRun);
        assertThat(mNext.mStarts).hasSize(1);

        reportFailure(mNext.run(0));
        assertThat(mNext.lastPublishedState(JOB)).contains(JobState.FAILED);
    }

    /** Guards against an owner that schedules by a configuration which was read before a newer. */
    @Test
    void ignoresConfigurationOlderThanTheOneInForce() {
        WorkloadConfiguration newer = DispatchFixture.configuration(DispatchFixture.queue());
        mNext.mDispatcher.onConfigurationChanged(newer);
        mNext.mDispatcher.onConfigurationChanged(
                new WorkloadConfiguration(newer.version() - 1, List.of(), List.of(), 100_000));

        reportFailure(mRun);

        assertThat(mNext.mStarts).hasSize(1);
    }
}
