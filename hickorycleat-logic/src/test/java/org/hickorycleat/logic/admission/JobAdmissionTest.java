package org.hickorycleat.logic.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueBacklog;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.message.QueueBacklogs;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JobAdmissionTest {
    private static final QueueName QUEUE = new QueueName("allocations");
    private static final int ENTRIES = 3;
    private static final int TASK_MS = 1_000;
    private static final long DRAIN_MILLI = 10_000;

    /** Objective of one step of a second: twice its duration, and a second. */
    private static final long OBJECTIVE_MS = 3_000;

    /** Wait for which no job is rejected. */
    private static final long MINIMUM_WAIT_MS = 3_000;

    private final JobAdmission mAdmission = new JobAdmission();
    private final JobQueue mQueue =
            new JobQueue(
                    QUEUE,
                    "host",
                    "/allocations/",
                    new ServiceName("booking"),
                    0,
                    2,
                    2,
                    1_000,
                    3_000,
                    Optional.empty());

    private static JobSubmission job(int tasks, boolean longRunning, long firstDueMs) {
        StepSpecification step =
                new StepSpecification(
                        tasks,
                        new Resources(1_000, 1_000, 0),
                        TASK_MS,
                        List.of(),
                        true,
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        false,
                        longRunning,
                        "image",
                        0,
                        false,
                        -1);
        return new JobSubmission(
                new JobId("1"), QUEUE, "payload", List.of(step), 0, firstDueMs, 0, 0);
    }

    private void receiveWait(Epoch epoch, long waitMs, long nowMs) {
        QueueBacklog backlog = new QueueBacklog(QUEUE, waitMs * DRAIN_MILLI, DRAIN_MILLI, 100);
        mAdmission.onBacklogs(new QueueBacklogs(epoch, List.of(backlog)), nowMs);
    }

    private Optional<Long> reject(JobSubmission job, long nowMs) {
        return mAdmission.rejectUntilMs(mQueue, job, ENTRIES, nowMs);
    }

    @Test
    void rejectsJobThatWaitsTooLongUntilItWouldNot() {
        receiveWait(new Epoch(1), MINIMUM_WAIT_MS + 2_000, 0);

        assertThat(reject(job(10, false, 0), 0)).contains(2_000L);
    }

    @Test
    void acceptsJobThatCanMeetItsObjective() {
        receiveWait(new Epoch(1), OBJECTIVE_MS - TASK_MS, 0);

        assertThat(reject(job(10, false, 0), 0)).isEmpty();
    }

    @Test
    void acceptsJobThatWaitsHardlyLongerThanItsCallerWouldStayAway() {
        receiveWait(new Epoch(1), MINIMUM_WAIT_MS, 0);

        assertThat(reject(job(10, false, 0), 0)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 1_000})
    void rejectsJobsOfAllSizesAlike(int tasks) {
        receiveWait(new Epoch(1), MINIMUM_WAIT_MS + 2_000, 0);

        assertThat(reject(job(tasks, false, 0), 0)).contains(2_000L);
    }

    @Test
    void letsCallersReturnInTheOrderOfTheirRejection() {
        receiveWait(new Epoch(1), 20_000, 0);

        long first = reject(job(10, false, 0), 0).orElseThrow();
        long second = reject(job(10, false, 0), 100).orElseThrow() + 100;
        long third = reject(job(10, false, 0), 200).orElseThrow() + 200;

        // Each of the entries gets a third of the rate at which the backlog drains.
        assertThat(second - first).isEqualTo(10L * 1_000 * TASK_MS * ENTRIES / DRAIN_MILLI);
        assertThat(third - second).isEqualTo(second - first);
    }

    @Test
    void neverAsksForReturnAfterMoreThanOneMinute() {
        receiveWait(new Epoch(1), 10_000_000, 0);

        assertThat(reject(job(10, false, 0), 0)).contains(60_000L);
        assertThat(reject(job(10, false, 0), 0)).contains(60_000L);
    }

    @Test
    void acceptsWithoutFigures() {
        assertThat(reject(job(10, false, 0), 0)).isEmpty();
    }

    @Test
    void acceptsWhenFiguresAreOutdated() {
        receiveWait(new Epoch(1), 100_000, 0);

        assertThat(reject(job(10, false, 0), 2_001)).isEmpty();
    }

    @Test
    void ignoresFiguresOfAnEarlierOwner() {
        receiveWait(new Epoch(2), 0, 0);
        receiveWait(new Epoch(1), 100_000, 10);

        assertThat(reject(job(10, false, 0), 20)).isEmpty();
    }

    @Test
    void acceptsAgainWhenTheBacklogIsGone() {
        receiveWait(new Epoch(1), 100_000, 0);
        mAdmission.onBacklogs(new QueueBacklogs(new Epoch(1), List.of()), 500);

        assertThat(reject(job(10, false, 0), 500)).isEmpty();
    }

    @Test
    void acceptsJobsThatHaveValueWheneverTheyStart() {
        receiveWait(new Epoch(1), 100_000, 0);

        assertThat(reject(job(10, true, 0), 0)).isEmpty();
        assertThat(reject(job(10, false, 5_000), 0)).isEmpty();
    }

    @Test
    void acceptsWhenTheDrainRateIsUnknown() {
        mAdmission.onBacklogs(
                new QueueBacklogs(
                        new Epoch(1), List.of(new QueueBacklog(QUEUE, Long.MAX_VALUE, 0, 100))),
                0);

        assertThat(reject(job(10, false, 0), 0)).isEmpty();
    }
}
