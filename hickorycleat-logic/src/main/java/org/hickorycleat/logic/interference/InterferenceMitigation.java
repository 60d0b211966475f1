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
 * Throttles batch tasks that slow down a service, and evicts those that still do at the lowest
 * share so that they are placed elsewhere. Not safe for use by several threads.
 */
public final class InterferenceMitigation {
    private static final int FULL_PERMILLE = 1_000;
    private static final long MINUTE_MS = 60_000;

    private final InterferenceModel mModel;
    private final JobNaming mNaming;
    private final InterferenceConstraint mConstraint;
    private final InterferenceSettings mSettings;
    private final Map<TaskId, Long> mLastActionMs = new HashMap<>();
    private final Deque<Long> mEvictionTimesMs = new ArrayDeque<>();
    private long mLastEvaluationMs = Long.MIN_VALUE / 2;

    /** Creates a mitigation; the first call of {@link #decide} evaluates at once. */
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

    /** Returns the throttle and evict decisions to apply now. */
    public List<PlacementDecision> decide(IndexedPlacementView view, long nowMs) {
        if (nowMs < mLastEvaluationMs + mSettings.evaluationIntervalMs()) {
            return List.of();
        }
        mLastEvaluationMs = nowMs;
        mLastActionMs
                .values()
                .removeIf(actionMs -> actionMs < nowMs - mSettings.minimumActionIntervalMs());
        List<PlacementDecision> decisions = new ArrayList<>();
        for (PlacedTask task : view.placedTasks()) {
            if (task.phase() == Phase.RUNNING
                    && task.specification().service().isEmpty()
                    && !mLastActionMs.containsKey(task.specification().task())) {
                mitigate(task, view, nowMs)
                        .ifPresent(
                                decision -> {
                                    mLastActionMs.put(decision.task(), nowMs);
                                    decisions.add(decision);
                                });
            }
        }
        return decisions;
    }

    private Optional<PlacementDecision> mitigate(
            PlacedTask task, IndexedPlacementView view, long nowMs) {
        boolean throttled = task.throttlePermille() < FULL_PERMILLE;
        JobName job = mNaming.jobOf(task.specification());
        if (!throttled && mModel.servicesSlowedBy(job).isEmpty()) {
            return Optional.empty();
        }
        Slowdown slowdown = worstSlowdown(job, task, view);
        double share = task.throttlePermille() / (double) FULL_PERMILLE;
        if (slowdown.lowerBound * share > mSettings.throttleThreshold()) {
            return task.throttlePermille() > mSettings.minimumThrottlePermille()
                    ? Optional.of(throttle(task, task.throttlePermille() / 2, slowdown))
                    : evict(task, job, view, nowMs);
        }
        if (throttled && slowdown.mean * Math.min(1, share * 2) < mSettings.recoveryThreshold()) {
            return Optional.of(throttle(task, task.throttlePermille() * 2, slowdown));
        }
        return Optional.empty();
    }

    /** The worst slowdown that a task at its full share causes to a service on its worker. */
    private record Slowdown(Optional<ServiceName> service, double mean, double lowerBound) {}

    private Slowdown worstSlowdown(JobName job, PlacedTask task, IndexedPlacementView view) {
        Slowdown worst = new Slowdown(Optional.empty(), 0, 0);
        for (PlacedTask placed : view.placedOn(task.worker())) {
            Optional<ServiceName> service = placed.specification().service();
            if (service.isPresent()) {
                SlowdownEstimate estimate = mModel.estimate(service.get(), job);
                double lowerBound = estimate.lowerBound(mSettings.confidenceDeviations());
                if (estimate.mean() > worst.mean) {
                    worst = new Slowdown(service, estimate.mean(), lowerBound);
                }
            }
        }
        return worst;
    }

    private PlacementDecision throttle(PlacedTask task, int permille, Slowdown slowdown) {
        int bounded =
                Math.max(mSettings.minimumThrottlePermille(), Math.min(FULL_PERMILLE, permille));
        String reason =
                slowdown.service
                        .map(service -> "effect on " + service + " " + slowdown.mean)
                        .orElse("no service beside it");
        return new PlacementDecision.Throttle(task.specification().task(), bounded, reason);
    }

    private Optional<PlacementDecision> evict(
            PlacedTask task, JobName job, IndexedPlacementView view, long nowMs) {
        if (!isEvictionAllowed(view.workers().size(), nowMs) || !hasBetterWorker(task, job, view)) {
            return Optional.empty();
        }
        mEvictionTimesMs.addLast(nowMs);
        return Optional.of(
                new PlacementDecision.Evict(
                        task.specification().task(), "disturbs services on " + task.worker()));
    }

    private boolean isEvictionAllowed(int workers, long nowMs) {
        while (!mEvictionTimesMs.isEmpty() && mEvictionTimesMs.peekFirst() <= nowMs - MINUTE_MS) {
            mEvictionTimesMs.removeFirst();
        }
        int allowedEvictions =
                (workers + mSettings.workersPerEviction() - 1) / mSettings.workersPerEviction();
        return mEvictionTimesMs.size() < allowedEvictions;
    }

    /** Returns whether some worker halves the slowdown; an eviction to an equal one would recur. */
    private boolean hasBetterWorker(PlacedTask task, JobName job, IndexedPlacementView view) {
        double currentSlowdown =
                view.worker(task.worker())
                        .map(worker -> mConstraint.slowdownCausedBy(job, worker, view))
                        .orElse(0.0);
        for (WorkerView worker : view.workers()) {
            if (worker.available()
                    && worker.reserved().fitsInto(worker.capacity())
                    && task.specification().resources().fitsInto(worker.free())
                    && mConstraint.slowdownCausedBy(job, worker, view) < currentSlowdown / 2) {
                return true;
            }
        }
        return false;
    }
}
