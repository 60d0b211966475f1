package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.hickorycleat.logic.port.DecisionLog;

/**
 * Stops runs that should continue elsewhere: on workers that drain or stall, or where other work
 * slows them down.
 */
final class RunMonitor {
    /** Time without progress after which a run counts as stalled, in milliseconds. */
    private static final long STALL_TIMEOUT_MS = 1_500;

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
        moveSlowed(worker, nowMs);
    }

    private void stopUnfinishableRuns(TrackedWorker worker, long nowMs) {
        long remainingMs = worker.description().orElseThrow().remainingMs();
        for (TrackedRun run : worker.runs()) {
            if (run.phase() != RunPhase.RUNNING || run.isStopping()) {
                continue;
            }
            long neededMs = run.remainingMs(nowMs);
            boolean longRunning = run.task().specification().longRunning();
            if (longRunning || neededMs > remainingMs - DRAIN_MARGIN_MS) {
                mStopper.stop(run, "worker_draining");
            }
        }
    }

    // A best-effort task that gets too few processors continues elsewhere from its checkpoint.
    private void moveSlowed(TrackedWorker worker, long nowMs) {
        for (TrackedRun run : worker.runs()) {
            boolean movable =
                    run.task().specification().bestEffort()
                            && !run.isStopping()
                            && run.percent() < MOVE_LIMIT_PERCENT
                            && run.slowedMs(nowMs) > SLOWED_TIMEOUT_MS;
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

    private void stopStalled(TrackedWorker worker, long nowMs) {
        // Runs whose end is not listed yet make no progress.
        if (!worker.isAvailable() || !worker.isFullyListed() || worker.bestEffortPercent() == 0) {
            return;
        }
        List<TrackedRun> finite = new ArrayList<>();
        for (TrackedRun run : worker.runs()) {
            boolean gang = run.task().specification().gang();
            if (run.phase() == RunPhase.RUNNING
                    && !run.task().specification().longRunning()
                    && !gang) {
                finite.add(run);
            }
        }
        boolean stalled =
                !finite.isEmpty()
                        && finite.stream().allMatch(run -> run.stalledMs(nowMs) > STALL_TIMEOUT_MS);
        if (!stalled) {
            return;
        }
        if (worker.health().quarantine(nowMs)) {
            mLog.record("worker_set_aside", "agent", worker.agent(), "cause", "stalled");
        }
        finite.forEach(run -> mStopper.stop(run, "stalled"));
    }
}
