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

/** Priority order of the pending batch tasks; a long queue reuses the order over several calls. */
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

    /** A pending task with its priority key. */
    record Entry(PendingTask task, BatchJob job, double key) {
        Criticality criticality() {
            return task.specification().criticality();
        }
    }

    /**
     * Returns the first tasks in priority order. Tasks that are no longer pending may be among them
     * and must be skipped. A long queue is read in chunks, one per call, to bound the time of a
     * call.
     */
    List<Entry> firstInOrder(IndexedPlacementView view, long nowMs) {
        boolean fitsInOneChunk = view.pendingBatch().size() <= mSettings.orderingChunkSize();
        if (fitsInOneChunk || !mUnread.hasNext()) {
            mUnread = new ArrayList<>(view.pendingBatch()).iterator();
            mBest = emptyBest();
        }
        readChunk(nowMs);
        if (!mUnread.hasNext()) {
            mOrdered = new ArrayList<>(mBest);
            mOrdered.sort(ORDER);
        }
        return mOrdered;
    }

    /** Orders the tasks read so far, because every task of the last order has been started. */
    void orderTasksReadSoFar() {
        mOrdered = new ArrayList<>(mBest);
        mOrdered.sort(ORDER);
    }

    private void readChunk(long nowMs) {
        for (int i = 0; i < mSettings.orderingChunkSize() && mUnread.hasNext(); i++) {
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
