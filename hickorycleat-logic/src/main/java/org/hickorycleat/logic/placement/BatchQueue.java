package org.hickorycleat.logic.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
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
    private Iterator<PendingTask> mUnread = Collections.emptyIterator();
    private PriorityQueue<Entry> mBest = emptyBest();

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

    /**
     * Returns the first tasks in order; those that no longer wait must be passed over. A long queue
     * is read in slices, one a call, so that no call takes long.
     */
    List<Entry> first(IndexedPlacementView view, long nowMs) {
        boolean whole = view.pendingBatch().size() <= mSettings.orderSlice();
        if (whole || !mUnread.hasNext()) {
            mUnread = new ArrayList<>(view.pendingBatch()).iterator();
            mBest = emptyBest();
        }
        readSlice(nowMs);
        if (!mUnread.hasNext()) {
            mOrdered = new ArrayList<>(mBest);
            mOrdered.sort(ORDER);
        }
        return mOrdered;
    }

    /** Offers what has been read so far, because all that was ordered has been started. */
    void exhausted() {
        mOrdered = new ArrayList<>(mBest);
        mOrdered.sort(ORDER);
    }

    private void readSlice(long nowMs) {
        for (int i = 0; i < mSettings.orderSlice() && mUnread.hasNext(); i++) {
            PendingTask task = mUnread.next();
            if (task.specification().releaseMs() > nowMs) {
                continue;
            }
            mBest.add(entry(task, nowMs));
            if (mBest.size() > mSettings.backfillDepth()) {
                mBest.poll();
            }
        }
    }

    private static PriorityQueue<Entry> emptyBest() {
        return new PriorityQueue<>(ORDER.reversed());
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
