package org.hickorycleat.measurements.placement;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hickorycleat.logic.batch.JobNaming;
import org.hickorycleat.logic.scheduling.SchedulingPolicy;
import org.hickorycleat.model.task.PlacementDecision;

/** Measures decision time and starts per second by the number of workers and queued tasks. */
public final class PlacementScaleMeasurement {
    private static final int[] WORKERS = {11, 110, 500, 1_000, 2_100};
    private static final int[] QUEUE_LENGTHS = {500, 18_000};

    /** Equals the rate at which an owner may append batches. */
    private static final int CALLS_PER_SECOND = 20;

    private static final int STARTS_PER_SECOND = 190;
    private static final int WARM_UP_CALLS = 300;
    private static final int MEASURED_CALLS = 600;
    private static final int CANCELLED_TASKS = 5_000;

    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();

    /** Times in nanoseconds and counters of one run. */
    private static final class Times {
        private final List<Long> mCallNs = new ArrayList<>();
        private final List<Long> mCallProcessorNs = new ArrayList<>();
        private long mTotalProcessorNs;
        private long mStarts;
        private long mTasks;
        private long mAfterCancelNs;
    }

    /** Returns one line for each number of workers and queue length. */
    public List<String> run(long[] seeds) {
        List<String> lines = new ArrayList<>();
        for (int workers : WORKERS) {
            for (int queueLength : QUEUE_LENGTHS) {
                List<Times> times = new ArrayList<>();
                for (long seed : seeds) {
                    times.add(runOnce(workers, queueLength, seed));
                }
                lines.add(line(workers, queueLength, times));
            }
        }
        return lines;
    }

    private Times runOnce(int workers, int queueLength, long seed) {
        ScaleFleet fleet = new ScaleFleet(workers, seed);
        SchedulingPolicy policy = new SchedulingPolicy(JobNaming.BEFORE_LAST_SLASH);
        fleet.submit(queueLength, 0);
        Times times = new Times();
        long nowMs = 0;
        int ended = 0;
        for (int call = 0; call < WARM_UP_CALLS + MEASURED_CALLS; call++) {
            nowMs += 1_000 / CALLS_PER_SECOND;
            int endsDue = (call + 1) * STARTS_PER_SECOND / CALLS_PER_SECOND;
            fleet.endOldest(endsDue - ended);
            fleet.submit(Math.max(0, queueLength - fleet.view().pendingBatch().size()), nowMs);
            ended = endsDue;
            call(fleet, policy, nowMs, call < WARM_UP_CALLS ? new Times() : times);
        }
        times.mTasks = fleet.view().placedTasks().size();
        fleet.cancelPending(CANCELLED_TASKS);
        Times afterCancel = new Times();
        call(fleet, policy, nowMs + 50, afterCancel);
        times.mAfterCancelNs = afterCancel.mCallNs.get(0);
        return times;
    }

    private void call(ScaleFleet fleet, SchedulingPolicy policy, long nowMs, Times times) {
        long processorNs = mThreads.getCurrentThreadCpuTime();
        long startNs = System.nanoTime();
        List<PlacementDecision> decisions = policy.decide(fleet.view(), nowMs);
        times.mCallNs.add(System.nanoTime() - startNs);
        processorNs = mThreads.getCurrentThreadCpuTime() - processorNs;
        times.mCallProcessorNs.add(processorNs);
        times.mTotalProcessorNs += processorNs;
        for (PlacementDecision decision : decisions) {
            times.mStarts += fleet.apply(decision, nowMs) ? 1 : 0;
        }
    }

    private static String line(int workers, int queueLength, List<Times> times) {
        double seconds = MEASURED_CALLS / (double) CALLS_PER_SECOND;
        return String.format(
                Locale.ROOT,
                "measurement=placement workers=%d tasks=%.0f queue=%d seeds=%d call_p50_ms=%.3f"
                        + " call_p99_ms=%.3f call_cpu_p99_ms=%.3f"
                        + " starts_per_second=%.0f core_share=%.4f"
                        + " starts_per_core_second=%.0f call_after_cancelling_%d_ms=%.3f",
                workers,
                Quantiles.medianOf(times, run -> run.mTasks),
                queueLength,
                times.size(),
                Quantiles.medianOf(times, run -> Quantiles.quantile(0.5, run.mCallNs) / 1e6),
                Quantiles.medianOf(times, run -> Quantiles.quantile(0.99, run.mCallNs) / 1e6),
                Quantiles.medianOf(
                        times, run -> Quantiles.quantile(0.99, run.mCallProcessorNs) / 1e6),
                Quantiles.medianOf(times, run -> run.mStarts / seconds),
                Quantiles.medianOf(times, run -> run.mTotalProcessorNs / 1e9 / seconds),
                Quantiles.medianOf(times, run -> run.mStarts / (run.mTotalProcessorNs / 1e9)),
                CANCELLED_TASKS,
                Quantiles.medianOf(times, run -> run.mAfterCancelNs / 1e6));
    }
}
