package org.hickorycleat.logic.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.junit.jupiter.api.Test;

class IncarnationHistoryTest {
    private static final ProcessId AGENT = new ProcessId("agent-1");

    private final IncarnationHistory mHistory = new IncarnationHistory();

    private static JobProgress progress(TaskStatus status, long startedAtMs) {
        TaskProgress task =
                new TaskProgress(
                        0,
                        0,
                        0,
                        status,
                        1,
                        List.of(),
                        Optional.of(AGENT),
                        Optional.of(new WorkerIncarnation(new WorkerId("i-1"), startedAtMs)),
                        Optional.empty());
        return new JobProgress(new JobId("00000000000000aa"), JobState.RUNNING, List.of(task));
    }

    /** Guards against an incarnation that stays young because its progress is written again. */
    @Test
    void countsFromFirstProgressOfIncarnation() {
        mHistory.onProgress(progress(TaskStatus.ACTIVE, 7), 1_000);
        mHistory.onProgress(progress(TaskStatus.ACTIVE, 7), 4_000);

        assertThat(mHistory.newestAgesMs(5_000)).containsEntry(AGENT, 4_000L).hasSize(1);
    }

    /** The start time may be lower, because the wall clock of the worker may be set back. */
    @Test
    void countsFromIncarnationThatWasReadLast() {
        mHistory.onProgress(progress(TaskStatus.ACTIVE, 7), 1_000);
        mHistory.onProgress(progress(TaskStatus.ACTIVE, 5), 4_000);
        mHistory.onProgress(progress(TaskStatus.ACTIVE, 7), 4_500);

        assertThat(mHistory.newestAgesMs(5_000)).containsEntry(AGENT, 1_000L);
    }

    @Test
    void ignoresTasksThatDoNotRun() {
        mHistory.onProgress(progress(TaskStatus.DONE, 7), 1_000);

        assertThat(mHistory.newestAgesMs(5_000)).isEmpty();
    }

    /** Guards against a run that stays young because its progress is written again. */
    @Test
    void countsRunFromItsFirstProgress() {
        RunId run = new RunId(new TaskKey(new JobId("00000000000000aa"), 0, 0, 0), 1);
        mHistory.onProgress(progress(TaskStatus.ACTIVE, 7), 1_000);
        mHistory.onProgress(progress(TaskStatus.ACTIVE, 7), 4_000);

        assertThat(mHistory.runAgesMs(4_000, 5_000)).containsExactly(Map.entry(run, 4_000L));
        assertThat(mHistory.runAgesMs(3_999, 5_000)).isEmpty();
    }

    /** Guards against a history that grows with every run. */
    @Test
    void forgetsRunsThatHaveEndedAndRemovedJobs() {
        mHistory.onProgress(progress(TaskStatus.ACTIVE, 7), 1_000);
        mHistory.onProgress(progress(TaskStatus.DONE, 7), 2_000);
        assertThat(mHistory.runAgesMs(60_000, 2_000)).isEmpty();

        mHistory.onProgress(progress(TaskStatus.ACTIVE, 7), 3_000);
        mHistory.removeJob(new JobId("00000000000000aa"));
        assertThat(mHistory.runAgesMs(60_000, 3_000)).isEmpty();
    }
}
