package org.hickorycleat.logic.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.hickorycleat.logic.port.DecisionLog;

/**
 * Stops runs that should continue elsewhere: on workers that drain or stall, or where other work
 * slows them down.
 */
final class RunMonitor {
    /**
     * Time after which a best-effort task that is slowed down by other work is moved, in
     * milliseconds.
     */
    private static final long SLOWED_TIMEOUT_MS = 1_500;

    /** Progress from which a task is no longer moved, in percent. */
    private static final int MOVE_LIMIT_PERCENT = 80;

    /** Minimum time between the expected end of a run and that of its worker, in milliseconds. */
    private static final long DRAIN_MARGIN_MS = 500;

    private final Function<TrackedTask, Optional<TrackedWorker>> mSelector;
    private final Stopper mStopper;
    private final DecisionLog mLog;

    /** Requests stops of runs. */
    interface Stopper {
        /** Stops a run; its task restarts after the end is listed. */
        void stop(TrackedRun run, String cause);
    }

    RunMonitor(
            Function<TrackedTask, Optional<TrackedWorker>> selector,
            Stopper stopper,
            DecisionLog log) {
        mSelector = selector;
        mStopper = stopper;
        mLog = log;
    }

    /** Stops the runs of a worker that should continue elsewhere. */
    void check(TrackedWorker worker, long nowMs) {
        if (worker.isDraining()) {
            stopUnfinishableRuns(worker, nowMs);
        }
        stopStalled(worker, nowMs);
        moveSlowed(worker);
    }

    private void stopUnfinishableRuns(TrackedWorker worker, long nowMs) {
        long remainingMs = worker.description().orElseThrow().remainingMs();
        for (TrackedRun run : worker.runs()) {
            if (run.phase() != RunPhase.RUNNING || run.isStopping()) {
                continue;
            }
            long neededMs = run.progress().remainingMs(nowMs);
            boolean longRunning = run.task().specification().longRunning();
            if (longRunning || neededMs > remainingMs - DRAIN_MARGIN_MS) {
                mStopper.stop(run, "worker_draining");
            }
        }
    }

    // A best-effort task that gets too few processors continues elsewhere from its checkpoint.
    private void moveSlowed(TrackedWorker worker) {
        for (TrackedRun run : worker.runs()) {
            boolean movable =
                    run.task().specification().bestEffort()
                            && !run.isStopping()
                            && run.isListed()
                            && run.progress().percent() < MOVE_LIMIT_PERCENT
                            && run.slowedMs() > SLOWED_TIMEOUT_MS;
            if (!movable) {
                continue;
            }
            Optional<TrackedWorker> other = mSelector.apply(run.task());
            if (other.isPresent() && other.get() != worker) {
                mStopper.stop(run, "slowed_by_neighbours");
                return;
            }
        }
    }

    // A task that takes much longer than estimated looks like a stall too, but on any worker; the
    // worker is at fault only if the task has not stalled before.
    private void stopStalled(TrackedWorker worker, long nowMs) {
        if (!worker.isAvailable() || worker.bestEffortPercent() == 0) {
            return;
        }
        List<TrackedRun> finite = worker.runs().stream().filter(RunMonitor::showsProgress).toList();
        boolean standsStill =
                finite.stream()
                        .allMatch(
                                run ->
                                        run.progress().stalledMs()
                                                > RunProgress.MINIMUM_STALL_TIMEOUT_MS);
        if (!standsStill) {
            return;
        }
        List<TrackedRun> stalled =
                finite.stream().filter(run -> !run.isStopping() && run.isStalled()).toList();
        boolean workerAtFault = stalled.stream().anyMatch(run -> run.task().stalledRuns() == 0);
        if (workerAtFault && worker.health().quarantine(nowMs)) {
            mLog.record("worker_set_aside", "agent", worker.agent(), "cause", "stalled");
        }
        for (TrackedRun run : stalled) {
            mLog.record(
                    "run_stalled",
                    "run",
                    run.id(),
                    "percent",
                    run.progress().percent(),
                    "stalled_ms",
                    run.progress().stalledMs(),
                    "earlier_stalls",
                    run.task().stalledRuns());
            mStopper.stop(run, "stalled");
            run.task().onStalled();
        }
    }

    private static boolean showsProgress(TrackedRun run) {
        return run.isListed()
                && !run.task().specification().longRunning()
                && !run.task().specification().gang();
    }
}
