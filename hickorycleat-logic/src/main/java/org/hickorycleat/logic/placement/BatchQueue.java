package org.hickorycleat.logic.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.hickorycleat.logic.batch.BatchJob;
import org.hickorycleat.logic.batch.PriorityRule;
import org.hickorycleat.logic.batch.RunTimeEstimator;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.model.manifest.Criticality;

/** Order of the waiting batch tasks, kept for a short time between calls when the queue is long. */
final class BatchQueue {
    private static final Comparator<Entry> ORDER =
            Comparator.comparing(Entry::criticality)
                    .thenComparingDouble(Entry::key)
                    .thenComparing(entry -> entry.job.task());

    private final PriorityRule mRule;
    private final RunTimeEstimator mEstimator;
    private final PlacementSettings mSettings;
    private List<Entry> mOrdered = List.of();
    private long mOrderedMs = Long.MIN_VALUE / 2;

    BatchQueue(PriorityRule rule, RunTimeEstimator estimator, PlacementSettings settings) {
        mRule = rule;
        mEstimator = estimator;
        mSettings = settings;
    }

    /** A waiting task with its key. */
    record Entry(PendingTask task, BatchJob job, double key) {
        Criticality criticality() {
            return task.specification().criticality();
        }
    }

    /** Returns the first tasks in order; those that no longer wait must be passed over. */
    List<Entry> first(IndexedPlacementView view, long nowMs) {
        int length = view.pendingBatch().size();
        if (length > mSettings.reorderAlways() && nowMs < mOrderedMs + mSettings.reorderMs()) {
            return mOrdered;
        }
        mOrderedMs = nowMs;
        mOrdered = order(view, nowMs);
        return mOrdered;
    }

    /** Orders anew in the next call, because all that was ordered has been started. */
    void exhausted() {
        mOrderedMs = Long.MIN_VALUE / 2;
    }

    private List<Entry> order(IndexedPlacementView view, long nowMs) {
        PriorityQueue<Entry> last = new PriorityQueue<>(ORDER.reversed());
        for (PendingTask task : view.pendingBatch()) {
            if (task.specification().releaseMs() > nowMs) {
                continue;
            }
            last.add(entry(task, nowMs));
            if (last.size() > mSettings.backfillDepth()) {
                last.poll();
            }
        }
        List<Entry> ordered = new ArrayList<>(last);
        ordered.sort(ORDER);
        return ordered;
    }

    private Entry entry(PendingTask task, long nowMs) {
        long remainingMs = mEstimator.expectedMs(task.specification()) - task.progressMs();
        BatchJob job =
                new BatchJob(
                        task.specification().task(),
                        task.submittedMs(),
                        task.specification().deadlineMs(),
                        remainingMs,
                        task.specification().resources().processorsMilli());
        return new Entry(task, job, mRule.key(job, nowMs));
    }
}
