package org.hickorycleat.logic.interference;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.logic.batch.JobNaming;
import org.hickorycleat.logic.placement.IndexedPlacementView;
import org.hickorycleat.logic.placement.PlacementView.Phase;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.task.PlacementDecision;

/**
 * Throttles batch tasks that disturb a service, and moves those that still disturb it at the lowest
 * share. Not safe for use by several threads.
 */
public final class InterferenceMitigation {
    private static final int FULL_PERMILLE = 1_000;
    private static final long MINUTE_MS = 60_000;

    private final InterferenceModel mModel;
    private final JobNaming mNaming;
    private final InterferenceConstraint mConstraint;
    private final InterferenceSettings mSettings;
    private final Map<TaskId, Long> mLastStepMs = new HashMap<>();
    private final Deque<Long> mMoves = new ArrayDeque<>();
    private long mEvaluatedMs = Long.MIN_VALUE / 2;

    /** Creates the response. */
    public InterferenceMitigation(
            InterferenceModel model,
            JobNaming naming,
            InterferenceConstraint constraint,
            InterferenceSettings settings) {
        mModel = model;
        mNaming = naming;
        mConstraint = constraint;
        mSettings = settings;
    }

    /** Returns the steps to take now. */
    public List<PlacementDecision> decide(IndexedPlacementView view, long nowMs) {
        if (nowMs < mEvaluatedMs + mSettings.evaluateMs()) {
            return List.of();
        }
        mEvaluatedMs = nowMs;
        mLastStepMs.values().removeIf(stepMs -> stepMs < nowMs - mSettings.dwellMs());
        List<PlacementDecision> decisions = new ArrayList<>();
        for (PlacedTask task : view.placedTasks()) {
            if (task.phase() == Phase.RUNNING
                    && task.specification().service().isEmpty()
                    && !mLastStepMs.containsKey(task.specification().task())) {
                step(task, view, nowMs)
                        .ifPresent(
                                decision -> {
                                    mLastStepMs.put(decision.task(), nowMs);
                                    decisions.add(decision);
                                });
            }
        }
        return decisions;
    }

    private Optional<PlacementDecision> step(
            PlacedTask task, IndexedPlacementView view, long nowMs) {
        boolean throttled = task.throttlePermille() < FULL_PERMILLE;
        JobName job = mNaming.jobOf(task.specification());
        if (!throttled && mModel.harmedBy(job).isEmpty()) {
            return Optional.empty();
        }
        Slowdown slowdown = slowdown(job, task, view);
        double share = task.throttlePermille() / (double) FULL_PERMILLE;
        if (slowdown.certain * share > mSettings.enter()) {
            return task.throttlePermille() > mSettings.lowestPermille()
                    ? Optional.of(throttle(task, task.throttlePermille() / 2, slowdown))
                    : move(task, job, view, nowMs);
        }
        if (throttled && slowdown.mean * Math.min(1, share * 2) < mSettings.leave()) {
            return Optional.of(throttle(task, task.throttlePermille() * 2, slowdown));
        }
        return Optional.empty();
    }

    /** The worst slowdown of a service beside a task at its full share. */
    private record Slowdown(Optional<ServiceName> service, double mean, double certain) {}

    private Slowdown slowdown(JobName job, PlacedTask task, IndexedPlacementView view) {
        Slowdown worst = new Slowdown(Optional.empty(), 0, 0);
        for (PlacedTask placed : view.placedOn(task.worker())) {
            Optional<ServiceName> service = placed.specification().service();
            if (service.isPresent()) {
                PairEstimate estimate = mModel.estimate(service.get(), job);
                double certain = estimate.lower(mSettings.deviations());
                if (estimate.mean() > worst.mean) {
                    worst = new Slowdown(service, estimate.mean(), certain);
                }
            }
        }
        return worst;
    }

    private PlacementDecision throttle(PlacedTask task, int permille, Slowdown slowdown) {
        int bounded = Math.max(mSettings.lowestPermille(), Math.min(FULL_PERMILLE, permille));
        String reason =
                slowdown.service
                        .map(service -> "effect on " + service + " " + slowdown.mean)
                        .orElse("no service beside it");
        return new PlacementDecision.Throttle(task.specification().task(), bounded, reason);
    }

    private Optional<PlacementDecision> move(
            PlacedTask task, JobName job, IndexedPlacementView view, long nowMs) {
        if (!moveAllowed(view.workers().size(), nowMs) || !betterPlace(task, job, view)) {
            return Optional.empty();
        }
        mMoves.addLast(nowMs);
        return Optional.of(
                new PlacementDecision.Evict(
                        task.specification().task(), "disturbs services on " + task.worker()));
    }

    private boolean moveAllowed(int workers, long nowMs) {
        while (!mMoves.isEmpty() && mMoves.peekFirst() <= nowMs - MINUTE_MS) {
            mMoves.removeFirst();
        }
        int allowed = (workers + mSettings.workersPerMove() - 1) / mSettings.workersPerMove();
        return mMoves.size() < allowed;
    }

    /** A move that ends beside the same service would only repeat. */
    private boolean betterPlace(PlacedTask task, JobName job, IndexedPlacementView view) {
        double here =
                view.worker(task.worker())
                        .map(worker -> mConstraint.slowdownBy(job, worker, view))
                        .orElse(0.0);
        for (WorkerView worker : view.workers()) {
            if (worker.available()
                    && worker.reserved().fitsInto(worker.capacity())
                    && task.specification().resources().fitsInto(worker.free())
                    && mConstraint.slowdownBy(job, worker, view) < here / 2) {
                return true;
            }
        }
        return false;
    }
}
