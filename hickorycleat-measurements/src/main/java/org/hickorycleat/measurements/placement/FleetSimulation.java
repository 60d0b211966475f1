package org.hickorycleat.measurements.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import org.hickorycleat.logic.placement.IncrementalPlacementView;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.logic.placement.PlacementView.Phase;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.logic.scheduling.PlacementObserver;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.hickorycleat.model.task.TaskState;

/** An event loop that calls a policy, applies its decisions and completes tasks in virtual time. */
final class FleetSimulation {
    /** Time from the decision to evict until the task has stopped. */
    private static final long STOP_MS = 2_000;

    private final IncrementalPlacementView mView = new IncrementalPlacementView();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private final Map<TaskId, RunningAttempt> mAttempts = new HashMap<>();
    private final Map<TaskId, WorkloadTask> mWork = new HashMap<>();
    private final PlacementPolicy mPolicy;
    private final PlacementObserver mObserver;
    private final long mTickMs;
    private final FleetResult mResult = new FleetResult();
    private long mSequence;
    private long mNowMs;
    private long mNextTickMs = Long.MAX_VALUE;

    FleetSimulation(PlacementPolicy policy, PlacementObserver observer, long tickMs) {
        mPolicy = policy;
        mObserver = observer;
        mTickMs = tickMs;
    }

    private record Event(long atMs, long sequence, Runnable action) {}

    IncrementalPlacementView view() {
        return mView;
    }

    long nowMs() {
        return mNowMs;
    }

    FleetResult result() {
        return mResult;
    }

    void at(long timeMs, Runnable action) {
        mEvents.add(new Event(timeMs, mSequence++, action));
    }

    void addWorkers(List<WorkerView> workers) {
        workers.forEach(mView::putWorker);
    }

    void addWork(List<WorkloadTask> work) {
        work.forEach(item -> at(item.arrivalMs(), () -> arrive(item)));
    }

    /** Runs until a time and then counts what has not finished. */
    FleetResult run(long untilMs) {
        while (!mEvents.isEmpty() && mEvents.peek().atMs <= untilMs) {
            Event event = mEvents.remove();
            mNowMs = event.atMs;
            event.action.run();
        }
        mNowMs = untilMs;
        mWork.values().stream()
                .filter(work -> work.specification().service().isEmpty())
                .forEach(this::countUnfinished);
        return mResult;
    }

    private void countUnfinished(WorkloadTask work) {
        mResult.mUnfinished++;
        countDeadline(work.specification());
    }

    private void countDeadline(TaskSpecification task) {
        if (task.deadlineMs() == Long.MAX_VALUE) {
            return;
        }
        mResult.mWithDeadline++;
        mResult.mOnTime += mNowMs <= task.deadlineMs() ? 1 : 0;
        mResult.mTardinessMs += Math.max(0, mNowMs - task.deadlineMs());
    }

    private void arrive(WorkloadTask work) {
        mWork.put(work.specification().task(), work);
        mView.addPending(new PendingTask(work.specification(), mNowMs, 0, 0, 0));
        tickSoon();
    }

    private void tickSoon() {
        tickBy((mNowMs / mTickMs + 1) * mTickMs);
    }

    private void tickBy(long timeMs) {
        if (timeMs < mNextTickMs) {
            mNextTickMs = timeMs;
            at(timeMs, () -> tick(timeMs));
        }
    }

    private void tick(long timeMs) {
        if (timeMs != mNextTickMs) {
            return;
        }
        mNextTickMs = Long.MAX_VALUE;
        mPolicy.decide(mView, mNowMs).forEach(this::apply);
        checkCapacity();
        tickBy(mNowMs + 12 * mTickMs);
    }

    private void apply(PlacementDecision decision) {
        if (decision instanceof PlacementDecision.Start start) {
            start(start);
        } else if (decision instanceof PlacementDecision.Evict evict) {
            evict(Objects.requireNonNull(mAttempts.get(evict.task())));
        } else if (decision instanceof PlacementDecision.Throttle throttle) {
            throttle(Objects.requireNonNull(mAttempts.get(throttle.task())), throttle.permille());
        } else if (decision instanceof PlacementDecision.Reject reject) {
            mView.removePending(reject.task());
            mWork.remove(reject.task());
            mObserver.onTaskRemoved(reject.task());
            mResult.mRejected++;
        }
    }

    private void start(PlacementDecision.Start start) {
        PendingTask pending = mView.pending(start.task()).orElseThrow();
        TaskSpecification task = pending.specification();
        PlacedTask placed =
                new PlacedTask(
                        task,
                        start.worker(),
                        mNowMs,
                        mNowMs,
                        pending.progressMs(),
                        pending.evictions(),
                        Phase.RUNNING,
                        1_000);
        mView.putPlaced(placed);
        RunningAttempt attempt =
                new RunningAttempt(Objects.requireNonNull(mWork.get(task.task())), placed, mNowMs);
        mAttempts.put(task.task(), attempt);
        mObserver.onAttemptRunning(placed, mNowMs);
        if (task.urgent()) {
            mResult.mUrgentWaitsMs.add(mNowMs - pending.submittedMs());
        }
        scheduleEnd(attempt);
    }

    private void scheduleEnd(RunningAttempt attempt) {
        long endMs = attempt.endMs();
        if (endMs < Long.MAX_VALUE) {
            at(endMs, () -> end(attempt, endMs));
        }
    }

    private void end(RunningAttempt attempt, long endMs) {
        TaskId id = attempt.work().specification().task();
        boolean current = mAttempts.get(id) == attempt && attempt.endMs() == endMs;
        if (!current || attempt.task().phase() != Phase.RUNNING) {
            return;
        }
        mAttempts.remove(id);
        mWork.remove(id);
        mView.removePlaced(id);
        mObserver.onAttemptEnded(attempt.task(), TaskState.SUCCEEDED, mNowMs);
        mObserver.onTaskRemoved(id);
        Resources size = attempt.work().specification().resources();
        mResult.mDone++;
        mResult.mWorkDoneCoreMs += attempt.work().runMs() * (size.processorsMilli() / 1_000.0);
        mResult.mLastEndMs = mNowMs;
        countDeadline(attempt.work().specification());
        tickSoon();
    }

    private void evict(RunningAttempt attempt) {
        mResult.mEvictions++;
        change(attempt, Phase.STOPPING, attempt.task().throttlePermille());
        at(mNowMs + STOP_MS, () -> stopped(attempt));
    }

    private void throttle(RunningAttempt attempt, int permille) {
        mResult.mThrottles++;
        change(attempt, Phase.RUNNING, permille);
        mObserver.onAttemptRunning(attempt.task(), mNowMs);
        scheduleEnd(attempt);
    }

    private void change(RunningAttempt attempt, Phase phase, int permille) {
        PlacedTask task = attempt.task();
        PlacedTask changed =
                new PlacedTask(
                        task.specification(),
                        task.worker(),
                        task.startedMs(),
                        task.checkpointMs(),
                        task.progressMs(),
                        task.evictions(),
                        phase,
                        permille);
        attempt.change(changed, mNowMs);
        mView.putPlaced(changed);
    }

    private void stopped(RunningAttempt attempt) {
        TaskSpecification task = attempt.work().specification();
        mAttempts.remove(task.task());
        mView.removePlaced(task.task());
        mObserver.onAttemptEnded(attempt.task(), TaskState.STOPPED, mNowMs);
        double done = attempt.doneMs(mNowMs);
        long saved = task.checkpointable() ? (long) done - STOP_MS : attempt.savedMs();
        saved = Math.max(attempt.savedMs(), saved);
        mResult.mLostMs += done - saved;
        int evictions = attempt.task().evictions() + 1;
        mView.addPending(new PendingTask(task, mNowMs, saved, evictions, 0));
        tickSoon();
    }

    private void checkCapacity() {
        for (WorkerView worker : mView.workers()) {
            if (!worker.reserved().fitsInto(worker.capacity())) {
                throw new IllegalStateException("overcommitted " + worker);
            }
        }
    }
}
