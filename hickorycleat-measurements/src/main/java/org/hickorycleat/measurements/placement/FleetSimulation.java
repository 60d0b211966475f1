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

/** Simulates a fleet in virtual time: calls a policy, applies its decisions and completes tasks. */
final class FleetSimulation {
    /** Time from the decision to evict a task until it has stopped. */
    private static final long EVICTION_DELAY_MS = 2_000;

    private final IncrementalPlacementView mView = new IncrementalPlacementView();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private final Map<TaskId, RunningAttempt> mAttempts = new HashMap<>();
    private final Map<TaskId, WorkloadTask> mWorkload = new HashMap<>();
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

    void schedule(long timeMs, Runnable action) {
        mEvents.add(new Event(timeMs, mSequence++, action));
    }

    void addWorkers(List<WorkerView> workers) {
        workers.forEach(mView::putWorker);
    }

    void addWorkload(List<WorkloadTask> tasks) {
        tasks.forEach(task -> schedule(task.arrivalMs(), () -> arrive(task)));
    }

    /** Runs until a time and then counts the unfinished batch tasks. */
    FleetResult run(long untilMs) {
        while (!mEvents.isEmpty() && mEvents.peek().atMs <= untilMs) {
            Event event = mEvents.remove();
            mNowMs = event.atMs;
            event.action.run();
        }
        mNowMs = untilMs;
        mWorkload.values().stream()
                .filter(task -> task.specification().service().isEmpty())
                .forEach(this::countUnfinished);
        return mResult;
    }

    private void countUnfinished(WorkloadTask task) {
        mResult.mUnfinished++;
        countDeadline(task.specification());
    }

    private void countDeadline(TaskSpecification task) {
        if (task.deadlineMs() == Long.MAX_VALUE) {
            return;
        }
        mResult.mWithDeadline++;
        mResult.mOnTime += mNowMs <= task.deadlineMs() ? 1 : 0;
        mResult.mTardinessMs += Math.max(0, mNowMs - task.deadlineMs());
    }

    private void arrive(WorkloadTask task) {
        mWorkload.put(task.specification().task(), task);
        mView.addPending(new PendingTask(task.specification(), mNowMs, 0, 0, 0));
        scheduleNextTick();
    }

    private void scheduleNextTick() {
        scheduleTick((mNowMs / mTickMs + 1) * mTickMs);
    }

    private void scheduleTick(long timeMs) {
        if (timeMs < mNextTickMs) {
            mNextTickMs = timeMs;
            schedule(timeMs, () -> tick(timeMs));
        }
    }

    private void tick(long timeMs) {
        if (timeMs != mNextTickMs) {
            return;
        }
        mNextTickMs = Long.MAX_VALUE;
        mPolicy.decide(mView, mNowMs).forEach(this::apply);
        checkCapacity();
        scheduleTick(mNowMs + 12 * mTickMs);
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
            mWorkload.remove(reject.task());
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
                new RunningAttempt(
                        Objects.requireNonNull(mWorkload.get(task.task())), placed, mNowMs);
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
            schedule(endMs, () -> end(attempt, endMs));
        }
    }

    private void end(RunningAttempt attempt, long endMs) {
        TaskId id = attempt.workloadTask().specification().task();
        boolean current = mAttempts.get(id) == attempt && attempt.endMs() == endMs;
        if (!current || attempt.placedTask().phase() != Phase.RUNNING) {
            return;
        }
        mAttempts.remove(id);
        mWorkload.remove(id);
        mView.removePlaced(id);
        mObserver.onAttemptEnded(attempt.placedTask(), TaskState.SUCCEEDED, mNowMs);
        mObserver.onTaskRemoved(id);
        Resources size = attempt.workloadTask().specification().resources();
        mResult.mCompleted++;
        mResult.mCompletedCoreMs +=
                attempt.workloadTask().runMs() * (size.processorsMilli() / 1_000.0);
        mResult.mLastEndMs = mNowMs;
        countDeadline(attempt.workloadTask().specification());
        scheduleNextTick();
    }

    private void evict(RunningAttempt attempt) {
        mResult.mEvictions++;
        changePlacement(attempt, Phase.STOPPING, attempt.placedTask().throttlePermille());
        schedule(mNowMs + EVICTION_DELAY_MS, () -> completeEviction(attempt));
    }

    private void throttle(RunningAttempt attempt, int permille) {
        mResult.mThrottles++;
        changePlacement(attempt, Phase.RUNNING, permille);
        mObserver.onAttemptRunning(attempt.placedTask(), mNowMs);
        scheduleEnd(attempt);
    }

    private void changePlacement(RunningAttempt attempt, Phase phase, int permille) {
        PlacedTask task = attempt.placedTask();
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
        attempt.update(changed, mNowMs);
        mView.putPlaced(changed);
    }

    private void completeEviction(RunningAttempt attempt) {
        TaskSpecification task = attempt.workloadTask().specification();
        mAttempts.remove(task.task());
        mView.removePlaced(task.task());
        mObserver.onAttemptEnded(attempt.placedTask(), TaskState.STOPPED, mNowMs);
        double progressMs = attempt.progressMs(mNowMs);
        long savedProgressMs =
                task.checkpointable()
                        ? (long) progressMs - EVICTION_DELAY_MS
                        : attempt.initialProgressMs();
        savedProgressMs = Math.max(attempt.initialProgressMs(), savedProgressMs);
        mResult.mLostProgressMs += progressMs - savedProgressMs;
        int evictions = attempt.placedTask().evictions() + 1;
        mView.addPending(new PendingTask(task, mNowMs, savedProgressMs, evictions, 0));
        scheduleNextTick();
    }

    private void checkCapacity() {
        for (WorkerView worker : mView.workers()) {
            if (!worker.reserved().fitsInto(worker.capacity())) {
                throw new IllegalStateException("overcommitted " + worker);
            }
        }
    }
}
