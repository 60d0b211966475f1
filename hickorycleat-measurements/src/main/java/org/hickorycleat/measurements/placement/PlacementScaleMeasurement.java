package org.hickorycleat.measurements.placement;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hickorycleat.logic.batch.JobNaming;
import org.hickorycleat.logic.scheduling.SchedulingPolicy;
import org.hickorycleat.model.task.PlacementDecision;

/** Measures decision time and starts a second against the number of workers and tasks. */
public final class PlacementScaleMeasurement {
    private static final int[] WORKERS = {11, 110, 500, 1_000, 2_100};
    private static final int[] BACKLOGS = {500, 18_000};

    /** As many calls a second as an owner may append batches. */
    private static final int CALLS_PER_SECOND = 20;

    private static final int STARTS_PER_SECOND = 190;
    private static final int WARM_UP_CALLS = 300;
    private static final int CALLS = 600;
    private static final int CANCELLED = 5_000;

    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();

    /** Times of one run in nanoseconds. */
    private static final class Times {
        private final List<Long> mCalls = new ArrayList<>();
        private final List<Long> mProcessorCalls = new ArrayList<>();
        private long mProcessorNs;
        private long mStarts;
        private long mTasks;
        private long mAfterCancelNs;
    }

    /** Returns one line for each number of workers and length of the queue. */
    public List<String> run(long[] seeds) {
        List<String> lines = new ArrayList<>();
        for (int workers : WORKERS) {
            for (int backlog : BACKLOGS) {
                List<Times> times = new ArrayList<>();
                for (long seed : seeds) {
                    times.add(runOnce(workers, backlog, seed));
                }
                lines.add(line(workers, backlog, times));
            }
        }
        return lines;
    }

    private Times runOnce(int workers, int backlog, long seed) {
        ScaleFleet fleet = new ScaleFleet(workers, seed);
        SchedulingPolicy policy = new SchedulingPolicy(JobNaming.BEFORE_LAST_SLASH);
        fleet.submit(backlog, 0);
        Times times = new Times();
        long nowMs = 0;
        int ended = 0;
        for (int call = 0; call < WARM_UP_CALLS + CALLS; call++) {
            nowMs += 1_000 / CALLS_PER_SECOND;
            int due = (call + 1) * STARTS_PER_SECOND / CALLS_PER_SECOND;
            fleet.end(due - ended);
            fleet.submit(Math.max(0, backlog - fleet.view().pendingBatch().size()), nowMs);
            ended = due;
            call(fleet, policy, nowMs, call < WARM_UP_CALLS ? new Times() : times);
        }
        times.mTasks = fleet.view().placedTasks().size();
        fleet.cancelPending(CANCELLED);
        Times after = new Times();
        call(fleet, policy, nowMs + 50, after);
        times.mAfterCancelNs = after.mCalls.get(0);
        return times;
    }

    private void call(ScaleFleet fleet, SchedulingPolicy policy, long nowMs, Times times) {
        long processorNs = mThreads.getCurrentThreadCpuTime();
        long startNs = System.nanoTime();
        List<PlacementDecision> decisions = policy.decide(fleet.view(), nowMs);
        times.mCalls.add(System.nanoTime() - startNs);
        processorNs = mThreads.getCurrentThreadCpuTime() - processorNs;
        times.mProcessorCalls.add(processorNs);
        times.mProcessorNs += processorNs;
        for (PlacementDecision decision : decisions) {
            times.mStarts += fleet.apply(decision, nowMs) ? 1 : 0;
        }
    }

    private static String line(int workers, int backlog, List<Times> times) {
        double seconds = CALLS / (double) CALLS_PER_SECOND;
        return String.format(
                Locale.ROOT,
                "measurement=placement workers=%d tasks=%.0f queue=%d seeds=%d call_p50_ms=%.3f"
                        + " call_p99_ms=%.3f call_cpu_p99_ms=%.3f"
                        + " starts_per_second=%.0f core_share=%.4f"
                        + " starts_per_core_second=%.0f call_after_cancelling_%d_ms=%.3f",
                workers,
                Medians.over(times, run -> run.mTasks),
                backlog,
                times.size(),
                Medians.over(times, run -> Medians.quantile(0.5, run.mCalls) / 1e6),
                Medians.over(times, run -> Medians.quantile(0.99, run.mCalls) / 1e6),
                Medians.over(times, run -> Medians.quantile(0.99, run.mProcessorCalls) / 1e6),
                Medians.over(times, run -> run.mStarts / seconds),
                Medians.over(times, run -> run.mProcessorNs / 1e9 / seconds),
                Medians.over(times, run -> run.mStarts / (run.mProcessorNs / 1e9)),
                CANCELLED,
                Medians.over(times, run -> run.mAfterCancelNs / 1e6));
    }
}
