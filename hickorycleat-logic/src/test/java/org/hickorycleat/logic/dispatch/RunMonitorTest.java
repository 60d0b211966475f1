package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.message.StopRun;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RunMonitorTest {
    private static final String JOB = "00000000000000aa";
    private static final int REPORT_INTERVAL_MS = 500;

    private final DispatchFixture mFixture = new DispatchFixture();
    private long mSession;
    private long mEndNumber;

    @BeforeEach
    void connect() {
        mSession = mFixture.connect(1);
    }

    private static StepSpecification step(int count, int estimateMs) {
        return step(count, estimateMs, false);
    }

    private static StepSpecification step(int count, int estimateMs, boolean bestEffort) {
        return new StepSpecification(
                count,
                new Resources(1_000, 1_000, 0),
                estimateMs,
                List.of(),
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                false,
                "image",
                0,
                bestEffort,
                -1);
    }

    private void report(List<RunSample> running, List<EndedRun> ended) {
        mFixture.report(1, mSession, 1, mFixture.mStarts.size(), running, ended);
    }

    private RunSample sample(int start, int percent) {
        return new RunSample(mFixture.run(start), "", percent, 900);
    }

    private List<RunId> stoppedRuns() {
        return mFixture.mStops.stream().map(StopRun::run).distinct().toList();
    }

    /** Reports all started runs with the same progress for a time. */
    private void standStill(int milliseconds, int percent) {
        standStill(milliseconds, percent, 900);
    }

    private void standStillWithUse(int milliseconds, long processorUse) {
        standStill(milliseconds, 40, processorUse);
    }

    private void standStill(int milliseconds, int percent, long processorUse) {
        for (int passed = 0; passed < milliseconds; passed += REPORT_INTERVAL_MS) {
            List<RunSample> running = new ArrayList<>();
            for (int i = 0; i < mFixture.mStarts.size(); i++) {
                running.add(new RunSample(mFixture.run(i), "", percent, processorUse));
            }
            report(running, List.of());
            mFixture.advanceTime(REPORT_INTERVAL_MS);
        }
    }

    @Test
    void stopsRunsOfWorkerThatStandsStill() {
        mFixture.submit(JOB, step(2, 2_400));
        standStill(1_500, 40);
        assertThat(stoppedRuns()).isEmpty();

        standStill(1_000, 40);

        assertThat(stoppedRuns()).containsExactly(mFixture.run(0), mFixture.run(1));
    }

    /**
     * Guards against a worker that is set aside because its agent has just raised the share of
     * best-effort runs that it had stopped.
     */
    @Test
    void keepsRunsThatWereThrottledUntilNow() {
        mFixture.submit(JOB, step(2, 2_400, true));
        mFixture.mBestEffortPercent = 0;
        standStillWithUse(3_000, 0);
        mFixture.mBestEffortPercent = 8;
        standStillWithUse(1_000, 80);
        mFixture.mBestEffortPercent = 38;
        standStillWithUse(1_000, 300);

        assertThat(stoppedRuns()).isEmpty();

        mFixture.mBestEffortPercent = 100;
        standStillWithUse(2_500, 900);
        assertThat(stoppedRuns()).containsExactly(mFixture.run(0), mFixture.run(1));
    }

    @Test
    void keepsRunWhileAnotherOneOnItsWorkerMakesProgress() {
        mFixture.submit(JOB, step(2, 2_400));
        for (int i = 0; i < 20; i++) {
            mFixture.advanceTime(REPORT_INTERVAL_MS);
            report(List.of(sample(0, 40), sample(1, i)), List.of());
        }

        assertThat(stoppedRuns()).isEmpty();
    }

    /** Guards against silence of a worker that is taken for a lack of progress. */
    @Test
    void keepsRunWhileItsWorkerReportsNothing() {
        mFixture.submit(JOB, step(1, 2_400));
        mFixture.advanceTime(REPORT_INTERVAL_MS);
        report(List.of(sample(0, 10)), List.of());

        mFixture.advanceTime(3_000);
        report(List.of(sample(0, 70)), List.of());

        assertThat(stoppedRuns()).isEmpty();
    }

    /** Guards against an end beyond the listed ones that hides that its worker stands still. */
    @Test
    void stopsRunOfWorkerThatStandsStillWhileOtherEndsAreNotListedYet() {
        mFixture.submit(JOB, step(2, 2_400));
        mFixture.advanceTime(REPORT_INTERVAL_MS);
        report(List.of(sample(0, 10), sample(1, 90)), List.of());

        mFixture.mCompleteness = ListCompleteness.PARTIAL;
        for (int i = 0; i < 5; i++) {
            report(List.of(sample(0, 10)), List.of());
            mFixture.advanceTime(REPORT_INTERVAL_MS);
        }

        assertThat(stoppedRuns()).containsExactly(mFixture.run(0));
    }

    /** Guards against long tasks that are stopped because a percent of them takes seconds. */
    @ParameterizedTest
    @ValueSource(ints = {2_400, 24_000, 240_000, 2_400_000})
    void keepsRunThatTakesTenTimesAsLongAsEstimated(int estimateMs) {
        mFixture.submit(JOB, step(1, estimateMs));
        long percentMs = estimateMs / 10;
        for (long passedMs = 0; passedMs < 20 * percentMs; passedMs += REPORT_INTERVAL_MS) {
            mFixture.advanceTime(REPORT_INTERVAL_MS);
            report(List.of(sample(0, (int) (passedMs / percentMs))), List.of());
        }

        assertThat(stoppedRuns()).isEmpty();
    }

    /** Guards against tasks that never end because their estimate is wrong by any factor. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 1_000})
    void stopsTaskOfAnyLengthOnlyFewTimes(int estimateMs) {
        long percentMs = 60_000;
        mFixture.submit(JOB, step(1, estimateMs));
        long startedAtMs = 0;
        int starts = 1;
        for (long nowMs = 0; nowMs < 10 * percentMs; nowMs += REPORT_INTERVAL_MS) {
            mFixture.advanceTime(REPORT_INTERVAL_MS);
            if (mFixture.mStarts.size() > starts) {
                starts = mFixture.mStarts.size();
                startedAtMs = nowMs;
            }
            RunId current = mFixture.run(starts - 1);
            if (stoppedRuns().contains(current)) {
                mEndNumber++;
                report(List.of(), List.of(new EndedRun(mEndNumber, current, EndCause.STOPPED, "")));
            } else {
                int percent = (int) ((nowMs - startedAtMs) / percentMs);
                report(List.of(sample(starts - 1, percent)), List.of());
            }
        }

        // The timeout doubles from 1.5 s to 96 s.
        assertThat(stoppedRuns()).hasSizeLessThanOrEqualTo(6);
        assertThat(stoppedRuns()).doesNotContain(mFixture.run(starts - 1));
    }

    /** Guards against workers that are set aside because of a task that stalls everywhere. */
    @Test
    void setsNoFurtherWorkerAsideForTaskThatStallsAgain() {
        mFixture.submit(JOB, step(1, 0));
        standStill(2_500, 0);
        assertThat(stoppedRuns()).hasSize(1);
        long second = mFixture.connect(2);
        report(List.of(), List.of(new EndedRun(1, mFixture.run(0), EndCause.STOPPED, "")));
        assertThat(mFixture.mStartedOn.get(1)).isEqualTo(DispatchFixture.agent(2));

        for (int i = 0; i < 8; i++) {
            mFixture.report(2, second, 1, 1, List.of(sample(1, 0)), List.of());
            mFixture.advanceTime(REPORT_INTERVAL_MS);
        }
        assertThat(stoppedRuns()).hasSize(2);
        mFixture.submit("00000000000000ab", step(1, 0));
        mFixture.report(
                2,
                second,
                1,
                1,
                List.of(),
                List.of(new EndedRun(1, mFixture.run(1), EndCause.STOPPED, "")));

        assertThat(mFixture.mStartedOn.subList(2, mFixture.mStartedOn.size()))
                .contains(DispatchFixture.agent(2));
    }
}
