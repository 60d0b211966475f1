package org.hickorycleat.logic.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.assertj.core.data.Percentage;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.junit.jupiter.api.Test;

class RunTimeCorrectionTest {
    private static final long DECLARED_MS = 100_000;
    private static final Resources SIZE = new Resources(1_000, 1_000, 1);

    private final RunTimeCorrection mCorrection =
            new RunTimeCorrection(JobNaming.BEFORE_LAST_SLASH);

    private static TaskSpecification run(String job, int number) {
        return new TaskSpecification(
                new TaskId(job + "/" + number),
                new TeamName("team"),
                Optional.empty(),
                Criticality.NORMAL,
                SIZE,
                DECLARED_MS,
                0,
                Long.MAX_VALUE,
                true,
                false);
    }

    /** Guards against estimates that stay wrong if declared values are off by up to 10 times. */
    @Property(seed = "81", tries = 50)
    void estimatesTheFactorOfEachJob(@ForAll @DoubleRange(min = 0.1, max = 10) double factor) {
        RunTimeCorrection correction = new RunTimeCorrection(JobNaming.BEFORE_LAST_SLASH);
        for (int i = 0; i < 20; i++) {
            correction.recordRun(run("job", i), Math.round(DECLARED_MS * factor));
        }
        long expected = Math.round(DECLARED_MS * factor);
        assertThat(correction.expectedMs(run("job", 99)))
                .isCloseTo(expected, Percentage.withPercentage(15));
    }

    /** Guards against relying on a single run, and against one outlier among many runs. */
    @Test
    void isRobustAgainstSingleRuns() {
        mCorrection.recordRun(run("job", 0), 10 * DECLARED_MS);
        assertThat(mCorrection.expectedMs(run("job", 1))).isLessThan(8 * DECLARED_MS);
        for (int i = 1; i < 20; i++) {
            mCorrection.recordRun(run("job", i), DECLARED_MS);
        }
        assertThat(mCorrection.expectedMs(run("job", 99)))
                .isCloseTo(DECLARED_MS, Percentage.withPercentage(5));
    }

    /** Guards against an upper estimate that most runs exceed. */
    @Test
    void theUpperEstimateCoversMostRuns() {
        for (int i = 0; i < 30; i++) {
            mCorrection.recordRun(run("job", i), DECLARED_MS * (1 + i % 10) / 5);
        }
        assertThat(mCorrection.upperMs(run("job", 99)))
                .isGreaterThan(mCorrection.expectedMs(run("job", 99)))
                .isGreaterThan(DECLARED_MS * 3 / 2);
    }

    /** Guards against sizes below what the worker reserves, and against growth without samples. */
    @Test
    void sizesGrowWithUseAndNeverShrink() {
        assertThat(mCorrection.size(run("job", 0))).isEqualTo(SIZE);
        for (int i = 0; i < 20; i++) {
            mCorrection.recordUsage(run("job", i), new Resources(100, 3_000, 0));
        }
        Resources size = mCorrection.size(run("job", 99));
        assertThat(size.processorsMilli()).isEqualTo(1_000);
        assertThat(size.memoryMebibytes()).isBetween(2_000L, 3_000L);
    }

    /** Guards against a new owner that falls back to the declared values. */
    @Test
    void survivesSnapshotAndRestore() {
        for (int i = 0; i < 20; i++) {
            mCorrection.recordRun(run("job", i), 4 * DECLARED_MS);
        }
        RunTimeCorrection restored = new RunTimeCorrection(JobNaming.BEFORE_LAST_SLASH);
        restored.restore(mCorrection.snapshot());
        assertThat(restored.expectedMs(run("job", 99)))
                .isEqualTo(mCorrection.expectedMs(run("job", 99)));
    }
}
