package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hickorycleat.logic.admission.JobAdmission;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;

/**
 * Replays the day on which a rival fails: for half a minute, jobs request ten times the processors
 * of the fleet.
 */
class FloodReplayTest {
    private static final int WORKERS = 10;
    private static final int TASK_PROCESSORS_MILLI = 1_800;
    private static final int TASK_MS = 2_400;
    private static final int MEAN_WIDTH = 14;
    private static final double FLOOD_LOAD = 10;
    private static final int FLOOD_MS = 30_000;
    private static final int ARRIVAL_STEP_MS = 50;

    /** Three times the objective: twice the duration of a task, and a second. */
    private static final int LATE_LIMIT_MS = 3 * (2 * TASK_MS + 1_000);

    private final Random mRandom = new Random(17);
    private final ReplayedFleet mFleet = new ReplayedFleet(WORKERS);
    private final JobAdmission mAdmission = new JobAdmission();
    private int mHandledBacklogs;
    private int mArrived;
    private int mRejected;

    private static StepSpecification step(int count) {
        return new StepSpecification(
                count,
                new Resources(TASK_PROCESSORS_MILLI, 500, 0),
                TASK_MS,
                List.of(),
                true,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                false,
                "batch",
                0,
                true,
                -1);
    }

    private void deliverBacklogs() {
        while (mHandledBacklogs < mFleet.mOwner.mBacklogs.size()) {
            mAdmission.onBacklogs(mFleet.mOwner.mBacklogs.get(mHandledBacklogs), mFleet.nowMs());
            mHandledBacklogs++;
        }
    }

    private void arrive(boolean admission) {
        mArrived++;
        StepSpecification step = step(1 + mRandom.nextInt(2 * MEAN_WIDTH - 1));
        JobSubmission submission =
                new JobSubmission(
                        new JobId(Integer.toString(mArrived)),
                        DispatchFixture.QUEUE,
                        "payload",
                        List.of(step),
                        0,
                        0,
                        0,
                        mFleet.nowMs());
        boolean rejected =
                mAdmission
                        .rejectUntilMs(DispatchFixture.queue(), submission, 1, mFleet.nowMs())
                        .isPresent();
        if (admission && rejected) {
            mRejected++;
        } else {
            mFleet.submit(submission.id().value(), step);
        }
    }

    private void play(double load, int milliseconds, boolean admission) {
        double capacity = (double) WORKERS * ReplayedFleet.WORKER_PROCESSORS_MILLI;
        double workOfJob = (double) MEAN_WIDTH * TASK_PROCESSORS_MILLI * TASK_MS;
        double jobsPerStep = load * capacity * ARRIVAL_STEP_MS / workOfJob;
        for (int passed = 0; passed < milliseconds; passed += ARRIVAL_STEP_MS) {
            deliverBacklogs();
            if (mRandom.nextDouble() < jobsPerStep) {
                arrive(admission);
            }
            mFleet.play(ARRIVAL_STEP_MS);
        }
    }

    // Nine of ten jobs cannot be served; they are told so at once, in place of waiting.
    @Test
    void rejectsAtOnceWhatCannotBeServed() {
        play(FLOOD_LOAD, FLOOD_MS, true);
        play(0, 3 * LATE_LIMIT_MS, true);

        int accepted = mFleet.submitted();
        long servedInTime = mFleet.completedWithin(LATE_LIMIT_MS);
        assertThat(accepted + mRejected).isEqualTo(mArrived);
        assertThat(mRejected).isPositive();
        assertThat(mFleet.completed()).isEqualTo(accepted);
        assertThat(servedInTime).isGreaterThanOrEqualTo(Math.round(0.9 * accepted));
    }

    // What the fleet can run within the flood and the time limit of its last job.
    @Test
    void servesDuringTheFloodWhatTheFleetHasRoomFor() {
        play(FLOOD_LOAD, FLOOD_MS, true);
        play(0, 3 * LATE_LIMIT_MS, true);

        double room = (FLOOD_MS + LATE_LIMIT_MS) / (FLOOD_LOAD * FLOOD_MS) * mArrived;
        assertThat(mFleet.completedWithin(LATE_LIMIT_MS))
                .isGreaterThanOrEqualTo(Math.round(0.8 * room));
    }

    @Test
    void rejectsNothingOnCalmDay() {
        play(0.5, FLOOD_MS, true);

        assertThat(mArrived).isPositive();
        assertThat(mRejected).isZero();
    }

    /** Guards against rejections while workers have room and only the store delays the starts. */
    @Test
    void rejectsNothingWhileStartsWaitForTheStore() {
        play(0.5, FLOOD_MS / 3, true);
        mFleet.mOwner.mStoreBlocked = true;
        play(0.5, 6_000, true);

        assertThat(mRejected).isZero();
    }

    @Test
    void rejectsNothingOnceTheFloodHasDrained() {
        play(FLOOD_LOAD, FLOOD_MS, true);
        play(0, 3 * LATE_LIMIT_MS, true);
        int rejected = mRejected;
        play(0.5, FLOOD_MS, true);

        assertThat(mRejected).isEqualTo(rejected);
    }
}
