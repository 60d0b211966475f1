package org.hickorycleat.logic.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.hickorycleat.logic.evacuation.MovePolicy;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskStatus;

/** Keeps new work off the workers of evacuated availability zones and moves tasks out of them. */
final class ZoneEvacuator {
    /** Progress that a long-running task shows while it is working, in percent. */
    private static final int WORKING_PERCENT = 100;

    private final Collection<TrackedWorker> mWorkers;
    private final Function<TrackedTask, Optional<TrackedWorker>> mSelector;
    private final RunMonitor.Stopper mStopper;
    private final DecisionLog mLog;
    // Moves in progress with the worker that had room for the task when it was stopped.
    private final Map<TrackedTask, TrackedWorker> mMoves = new HashMap<>();
    private Set<ZoneId> mZones = Set.of();

    /**
     * Creates an evacuator.
     *
     * @param workers view of all workers
     * @param selector returns the best worker for a task, if any has room
     */
    ZoneEvacuator(
            Collection<TrackedWorker> workers,
            Function<TrackedTask, Optional<TrackedWorker>> selector,
            RunMonitor.Stopper stopper,
            DecisionLog log) {
        mWorkers = workers;
        mSelector = selector;
        mStopper = stopper;
        mLog = log;
    }

    /** Handles a change of the evacuated zones; tasks that are being moved restart anywhere. */
    void onZonesChanged(Set<ZoneId> zones) {
        if (zones.equals(mZones)) {
            return;
        }
        mZones = new TreeSet<>(zones);
        mWorkers.forEach(this::onReport);
        mLog.record("zones_evacuated", "zones", mZones, "runs", remainingRuns());
    }

    /** Updates whether a worker is evacuated from its newest description. */
    void onReport(TrackedWorker worker) {
        // A worker that leaves is described no more; its zone stays the same.
        worker.description()
                .ifPresent(
                        known ->
                                worker.setEvacuated(
                                        known.zone().filter(mZones::contains).isPresent()));
    }

    /** Returns whether a member of the gang of a run would start on an evacuated worker. */
    boolean isInEvacuatedGang(TrackedRun run) {
        return run.task().specification().gang()
                && run.task().step().tasks().stream()
                        .flatMap(task -> task.run().stream())
                        .anyMatch(member -> member.worker().isEvacuated());
    }

    /** Returns the number of runs on evacuated workers. */
    int remainingRuns() {
        return remainingRuns(mZones);
    }

    private int remainingRuns(Set<ZoneId> zones) {
        return mWorkers.stream()
                .filter(worker -> worker.isEvacuated() && isIn(zones, worker))
                .mapToInt(worker -> worker.runs().size())
                .sum();
    }

    private static boolean isIn(Set<ZoneId> zones, TrackedWorker worker) {
        return worker.description()
                .flatMap(known -> known.zone())
                .filter(zones::contains)
                .isPresent();
    }

    /** Logs what is left in each evacuated zone. */
    void logStatus() {
        for (ZoneId zone : mZones) {
            mLog.record(
                    "evacuation_status",
                    "zone",
                    zone,
                    "workers",
                    mWorkers.stream().filter(worker -> isIn(Set.of(zone), worker)).count(),
                    "runs",
                    remainingRuns(Set.of(zone)),
                    "moving",
                    mMoves.size());
        }
    }

    /** Stops at most one task that continues elsewhere; called several times a second. */
    void moveTasks(long nowMs) {
        mMoves.keySet().removeIf(ZoneEvacuator::hasArrived);
        if (mZones.isEmpty()) {
            return;
        }
        int elsewhere = (int) mWorkers.stream().filter(TrackedWorker::mayTakeWork).count();
        if (mMoves.size() >= MovePolicy.maximumMoves(elsewhere)) {
            return;
        }
        Set<TrackedStep> examined = new HashSet<>();
        for (TrackedWorker worker : mWorkers) {
            if (!worker.isEvacuated() || !worker.isAvailable()) {
                continue;
            }
            for (TrackedRun run : worker.runs()) {
                // All tasks of a step have the same budget and need the same room.
                if (isMovable(run, nowMs) && examined.add(run.task().step()) && move(run)) {
                    return;
                }
            }
        }
    }

    private static boolean hasArrived(TrackedTask task) {
        return isAtWork(task)
                || task.status() == TaskStatus.DONE
                || task.step().job().state().isFinal();
    }

    private static boolean isMovable(TrackedRun run, long nowMs) {
        TrackedTask task = run.task();
        return run.isListed()
                && !run.isStopping()
                && (task.specification().longRunning() || task.checkpoint().isPresent())
                && MovePolicy.isWorthMoving(
                        task.specification(), run.progress().remainingMs(nowMs));
    }

    private boolean move(TrackedRun run) {
        TrackedTask task = run.task();
        if (!isWithinBudget(task)) {
            return false;
        }
        Optional<TrackedWorker> destination = mSelector.apply(task);
        // Room for one task is no room for two that are moved at the same time.
        if (destination.isEmpty() || mMoves.containsValue(destination.get())) {
            return false;
        }
        mMoves.put(task, destination.get());
        mStopper.stop(run, "zone_evacuated");
        return true;
    }

    private boolean isWithinBudget(TrackedTask task) {
        long moving = mMoves.keySet().stream().filter(other -> other.step() == task.step()).count();
        long unavailable =
                task.step().tasks().stream()
                        .filter(other -> other != task && !isAtWork(other))
                        .count();
        return MovePolicy.isWithinBudget(task.specification(), (int) moving, (int) unavailable);
    }

    private static boolean isAtWork(TrackedTask task) {
        return task.run().filter(ZoneEvacuator::isAtWork).isPresent();
    }

    private static boolean isAtWork(TrackedRun run) {
        StepSpecification step = run.task().specification();
        boolean paused = step.bestEffort() && run.worker().bestEffortPercent() == 0;
        boolean starting = step.longRunning() && run.progress().percent() < WORKING_PERCENT;
        return run.isListed()
                && !run.isStopping()
                && !paused
                && !starting
                && run.worker().isAvailable();
    }
}
