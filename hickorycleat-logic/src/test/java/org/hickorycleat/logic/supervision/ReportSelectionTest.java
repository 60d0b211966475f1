package org.hickorycleat.logic.supervision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskKey;
import org.junit.jupiter.api.Test;

class ReportSelectionTest {
    private static final int RUNS = 320;
    private static final String CHECKPOINT = "x".repeat(3_400);

    private final ReportSelection mSelection = new ReportSelection();

    private static RunId run(int index) {
        return new RunId(new TaskKey(new JobId("00000000000000aa"), 0, 0, index), 1);
    }

    private static List<RunSample> running(int runs, String checkpoint) {
        List<RunSample> running = new ArrayList<>();
        for (int i = 0; i < runs; i++) {
            running.add(new RunSample(run(i), checkpoint, 10, 900));
        }
        return running;
    }

    private static int characters(List<RunSample> running) {
        return running.stream().mapToInt(sample -> sample.checkpoint().length()).sum();
    }

    /** Guards against a report that is too large to be sent, so that its worker is never heard. */
    @Test
    void namesAllRunsAndTakesTurnsWithTheirCheckpoints() {
        List<RunSample> running = running(RUNS, CHECKPOINT);
        Set<RunId> withCheckpoint = new HashSet<>();
        int reports = 0;
        while (withCheckpoint.size() < RUNS && reports < 20) {
            List<RunSample> selected = mSelection.selectRunning(running);
            assertThat(selected).extracting(RunSample::run).hasSize(RUNS).doesNotHaveDuplicates();
            assertThat(characters(selected))
                    .isLessThanOrEqualTo(ReportSelection.MAXIMUM_CHARACTERS);
            selected.stream()
                    .filter(sample -> !sample.checkpoint().isEmpty())
                    .forEach(sample -> withCheckpoint.add(sample.run()));
            reports++;
        }

        assertThat(withCheckpoint).hasSize(RUNS);
        assertThat(reports).isEqualTo(9);
    }

    @Test
    void reportsAllCheckpointsIfTheyFit() {
        List<RunSample> running = running(30, CHECKPOINT);

        assertThat(mSelection.selectRunning(running)).isEqualTo(running);
    }

    /** Guards against one checkpoint that keeps all others out. */
    @Test
    void leavesOutCheckpointThatFitsIntoNoReport() {
        List<RunSample> running = new ArrayList<>(running(2, CHECKPOINT));
        String oversized = "x".repeat(ReportSelection.MAXIMUM_CHARACTERS + 1);
        running.add(0, new RunSample(run(2), oversized, 10, 900));

        assertThat(mSelection.selectRunning(running))
                .extracting(RunSample::checkpoint)
                .containsExactly("", CHECKPOINT, CHECKPOINT);
    }

    /** Guards against ends that are never acknowledged because they are too large together. */
    @Test
    void selectsFirstEndsThatFit() {
        List<EndedRun> ended = new ArrayList<>();
        for (int i = 0; i < RUNS; i++) {
            ended.add(new EndedRun(i + 1, run(i), EndCause.LAPSED, CHECKPOINT));
        }

        List<EndedRun> selected = ReportSelection.selectEnded(ended);
        assertThat(selected).isEqualTo(ended.subList(0, selected.size()));
        assertThat(selected).hasSize(ReportSelection.MAXIMUM_CHARACTERS / CHECKPOINT.length());
    }

    @Test
    void selectsEndWithoutOversizedCheckpoint() {
        String oversized = "x".repeat(ReportSelection.MAXIMUM_CHARACTERS + 1);
        List<EndedRun> ended = List.of(new EndedRun(1, run(1), EndCause.DONE, oversized));

        assertThat(ReportSelection.selectEnded(ended))
                .containsExactly(new EndedRun(1, run(1), EndCause.DONE, ""));
    }
}
