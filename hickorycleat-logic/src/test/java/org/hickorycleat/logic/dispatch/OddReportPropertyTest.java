package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.RejectionReason;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.message.RunRejected;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.task.Resources;

/** Sends reports with values that no agent sends; scheduling goes on. */
class OddReportPropertyTest {
    private static final int REPORTS = 12;

    private static long oddNumber(Random random) {
        long[] odd = {Long.MIN_VALUE, -1, 0, 1, 2, 100, Integer.MAX_VALUE, Long.MAX_VALUE};
        return odd[random.nextInt(odd.length)];
    }

    private static long oddAmount(Random random) {
        return Math.max(0, oddNumber(random));
    }

    private static int oddInteger(Random random) {
        int[] odd = {Integer.MIN_VALUE, -1, 0, 1, 2, 50, 100, Integer.MAX_VALUE};
        return odd[random.nextInt(odd.length)];
    }

    private static RunId oddRun(Random random) {
        JobId job = new JobId(random.nextBoolean() ? "7" : "unknown");
        TaskKey task =
                new TaskKey(
                        job,
                        Math.max(0, oddInteger(random)),
                        Math.max(0, oddInteger(random)),
                        Math.max(0, oddInteger(random)));
        return new RunId(task, Math.max(1, oddInteger(random)));
    }

    private static WorkerReport oddReport(Random random, long session) {
        WorkerIncarnation incarnation =
                new WorkerIncarnation(new WorkerId("i-1"), oddNumber(random));
        WorkerDescription description =
                new WorkerDescription(
                        incarnation,
                        DispatchFixture.SERVICE,
                        new Resources(oddAmount(random), oddAmount(random), oddAmount(random)),
                        List.of(""),
                        random.nextBoolean(),
                        oddNumber(random),
                        oddNumber(random));
        EndCause cause = random.nextBoolean() ? EndCause.DONE : EndCause.FAILED;
        return new WorkerReport(
                oddNumber(random),
                DispatchFixture.EPOCH,
                session,
                Optional.of(description),
                random.nextBoolean() ? Optional.of(incarnation) : Optional.empty(),
                oddNumber(random),
                List.of(oddRun(random)),
                List.of(new RunSample(oddRun(random), "", oddInteger(random), oddNumber(random))),
                List.of(new EndedRun(oddNumber(random), oddRun(random), cause, "")),
                ListCompleteness.COMPLETE,
                random.nextBoolean(),
                oddNumber(random),
                oddNumber(random),
                random.nextBoolean(),
                oddInteger(random));
    }

    @Property(tries = 200, seed = "23")
    void schedulesOnAfterOddReports(@ForAll long seed) {
        Random random = new Random(seed);
        DispatchFixture owner = new DispatchFixture();
        long odd = owner.connect(1);
        owner.submit("7", DispatchFixture.step(3, random.nextBoolean()));

        assertThatCode(
                        () -> {
                            for (int i = 0; i < REPORTS; i++) {
                                owner.mDispatcher.onWorkerReport(
                                        DispatchFixture.agent(1), oddReport(random, odd));
                                owner.mDispatcher.onRunRejected(
                                        DispatchFixture.agent(1),
                                        new RunRejected(
                                                DispatchFixture.EPOCH,
                                                oddRun(random),
                                                RejectionReason.UNAVAILABLE));
                                owner.advanceTime(200);
                            }
                        })
                .doesNotThrowAnyException();
        owner.connect(2);
        owner.submit("8", DispatchFixture.step(1, false));
        owner.advanceTime(200);

        assertThat(owner.mStarts)
                .anyMatch(start -> start.run().task().job().equals(new JobId("8")));
    }
}
