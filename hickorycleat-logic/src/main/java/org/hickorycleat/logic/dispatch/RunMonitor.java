package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.hickorycleat.logic.port.DecisionLog;

/** Stops runs that should go on elsewhere: on workers that leave, stand still, or are crowded. */
final class RunMonitor {
    /** Time without progress after which a run counts as stalled, in milliseconds. */
    private static final long STALL_MS = 1_500;

    /**
     * Time after which a task that hardly works beside its neighbours is moved, in milliseconds.
     */
    private static final long SLOWED_LIMIT_MS = 1_500;

    /** Progress from which on a task is not moved any more, in percent. */
    private static final int MOVABLE_PERCENT = 80;

    /** Time kept between the expected end of a run and that of its worker, in milliseconds. */
    private static final long DRAIN_MARGIN_MS = 500;

    private final Function<TrackedTask, Optional<TrackedWorker>> mChooser;
    private final Stopper mStopper;
    private final DecisionLog mLog;

    /** Orders stops. */
    interface Stopper {
        /** Stops a run; the task starts again when its end is listed. */
        void stop(TrackedRun run, String cause);
    }

    RunMonitor(
            Function<TrackedTask, Optional<TrackedWorker>> chooser,
            Stopper stopper,
            DecisionLog log) {
        mChooser = chooser;
        mStopper = stopper;
        mLog = log;
    }

    /** Checks the runs of a worker. */
    void check(TrackedWorker worker, long nowMs) {
        if (worker.isDraining()) {
            emptyDraining(worker, nowMs);
        }
        stopStalled(worker, nowMs);
        moveSlowed(worker, nowMs);
    }

    private void emptyDraining(TrackedWorker worker, long nowMs) {
        long remainingMs = worker.description().orElseThrow().remainingMs();
        for (TrackedRun run : worker.runs()) {
            if (run.phase() != RunPhase.RUNNING || run.isStopping()) {
                continue;
            }
            long needsMs = run.remainingMs(nowMs);
            boolean lasts = run.task().specification().perpetual();
            if (lasts || needsMs > remainingMs - DRAIN_MARGIN_MS) {
                mStopper.stop(run, "worker_draining");
            }
        }
    }

    // A task that its neighbours do not let work goes on elsewhere from its checkpoint.
    private void moveSlowed(TrackedWorker worker, long nowMs) {
        for (TrackedRun run : worker.runs()) {
            boolean worthIt =
                    run.task().specification().bestEffort()
                            && !run.isStopping()
                            && run.percent() < MOVABLE_PERCENT
                            && run.slowedMs(nowMs) > SLOWED_LIMIT_MS;
            if (!worthIt) {
                continue;
            }
            Optional<TrackedWorker> other = mChooser.apply(run.task());
            if (other.isPresent() && other.get() != worker) {
                mStopper.stop(run, "slowed_by_neighbours");
                return;
            }
        }
    }

    private void stopStalled(TrackedWorker worker, long nowMs) {
        if (!worker.isAvailable() || worker.fillPercent() == 0) {
            return;
        }
        List<TrackedRun> finite = new ArrayList<>();
        for (TrackedRun run : worker.runs()) {
            boolean waits = run.task().specification().gang();
            if (run.phase() == RunPhase.RUNNING
                    && !run.task().specification().perpetual()
                    && !waits) {
                finite.add(run);
            }
        }
        boolean stalled =
                !finite.isEmpty()
                        && finite.stream().allMatch(run -> run.stalledMs(nowMs) > STALL_MS);
        if (!stalled) {
            return;
        }
        if (worker.health().setAside(nowMs)) {
            mLog.record("worker_set_aside", "agent", worker.agent(), "cause", "stalled");
        }
        finite.forEach(run -> mStopper.stop(run, "stalled"));
    }
}
