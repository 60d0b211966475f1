package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.hickorycleat.logic.places.RackDemand;
import org.hickorycleat.logic.places.RackTimeline;
import org.hickorycleat.logic.places.RunEstimate;
import org.hickorycleat.logic.places.WaitCase;
import org.hickorycleat.logic.places.WaitCounters;
import org.hickorycleat.logic.places.WaitDecision;
import org.hickorycleat.logic.places.WaitPolicy;
import org.hickorycleat.logic.places.WaitTracker;
import org.hickorycleat.logic.places.WorkerTimeline;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.WorkerPool;
import org.hickorycleat.model.task.Resources;

/**
 * Places tasks in the rack of their data and gangs in one rack, and lets them wait for it while
 * that pays.
 *
 * <p>Load pattern: more jobs want one rack than it has places for. A round looks at each worker
 * once and then, for each ready step, only at the workers of its rack.
 *
 * <p>Best-effort and long-running tasks prefer their rack but do not wait for it: the former use
 * what others leave idle, which no expected end tells, and the latter have no end to compare.
 */
final class RackPlacer {
    /** Time for which a rack that no task wants any more is remembered, in milliseconds. */
    private static final long DEMAND_MEMORY_MS = 10_000;

    /** Number of racks, those with the most free processors, that are considered for a gang. */
    private static final int MAXIMUM_GANG_RACKS = 8;

    /** Limit of the number of steps in a round for which the places of all tasks are looked up. */
    private static final int MAXIMUM_SIMULATIONS = 200;

    private final WorkerSelector mSelector;
    private final RunTimeRatios mRatios;
    private final RackDemand mDemand;
    private final WaitPolicy mPolicy;
    private final WaitTracker mTracker;
    private final Map<String, List<TrackedWorker>> mWorkersByRack = new HashMap<>();
    private final Map<TrackedWorker, WorkerTimeline> mWorkerTimelines = new HashMap<>();
    private final Map<PlaceKind, Rack> mRacks = new HashMap<>();
    private final Map<TrackedStep, Boolean> mStepWaits = new HashMap<>();
    private final Map<TaskKey, TrackedStep> mTrackedSteps = new HashMap<>();
    private int mSimulations;
    private Collection<TrackedWorker> mWorkers = List.of();
    private boolean mGangRacksKnown;
    private long mNowMs;
    private long mUnixMs;

    /** The workers of a rack that may take tasks of one kind. */
    private record PlaceKind(String rack, ServiceName service, Optional<String> requiredLabel) {}

    private record Rack(List<TrackedWorker> workers, RackTimeline timeline) {}

    /**
     * What a task does now.
     *
     * @param worker worker in its rack on which it starts
     * @param waits whether it waits for its rack; if not, it may start on any worker
     */
    record Choice(Optional<TrackedWorker> worker, boolean waits) {
        private static final Choice ANYWHERE = new Choice(Optional.empty(), false);
        private static final Choice WAIT = new Choice(Optional.empty(), true);
    }

    RackPlacer(
            WorkerSelector selector,
            RunTimeRatios ratios,
            RackDemand demand,
            WaitPolicy policy,
            DecisionLog log) {
        mSelector = selector;
        mRatios = ratios;
        mDemand = demand;
        mPolicy = policy;
        mTracker = new WaitTracker(log);
    }

    /** Returns whether a task waits for its rack although it could start elsewhere. */
    boolean isWaiting(TrackedTask task) {
        return mTracker.isWaiting(key(task.step()));
    }

    private static TaskKey key(TrackedStep step) {
        return step.tasks().get(0).key();
    }

    int waiting() {
        return mTracker.waiting();
    }

    WaitCounters takeCounters() {
        return mTracker.takeCounters();
    }

    /** Begins a placement round. */
    void beginRound(
            List<ReadyStep> ready, Collection<TrackedWorker> workers, long nowMs, long unixMs) {
        mNowMs = nowMs;
        mUnixMs = unixMs;
        mWorkers = workers;
        mWorkersByRack.clear();
        mWorkerTimelines.clear();
        mRacks.clear();
        mGangRacksKnown = false;
        mStepWaits.clear();
        mSimulations = 0;
        mTrackedSteps.values().removeIf(step -> !isReady(step));
        mTracker.retain(mTrackedSteps::containsKey, nowMs);
        mDemand.forgetBefore(nowMs - DEMAND_MEMORY_MS);
        Set<String> wanted = new HashSet<>();
        for (ReadyStep step : ready) {
            if (mayWait(step.step().specification())) {
                step.step().specification().preferredRack().ifPresent(wanted::add);
            }
        }
        if (!wanted.isEmpty()) {
            workers.forEach(worker -> addToRacks(worker, wanted));
            mWorkersByRack.keySet().forEach(rack -> mDemand.onWanted(rack, nowMs));
        }
    }

    private static boolean isReady(TrackedStep step) {
        return step.unfinishedTasks() > step.activeTasks() && !step.job().state().isFinal();
    }

    private void addToRacks(TrackedWorker worker, Set<String> racks) {
        for (String label : worker.labels()) {
            if (racks.contains(label)) {
                mWorkersByRack.computeIfAbsent(label, key -> new ArrayList<>()).add(worker);
            }
        }
    }

    private boolean mayWait(StepSpecification step) {
        return mRatios.isRackAware()
                && step.preferredRack().isPresent()
                && !step.gang()
                && !step.bestEffort()
                && !step.longRunning();
    }

    /** Chooses between a start in the rack of the data, a start anywhere and a wait. */
    Choice choose(ReadyStep ready, TrackedTask task, Optional<WorkerPool> pool) {
        StepSpecification step = task.specification();
        if (!mayWait(step) || pool.isEmpty()) {
            return Choice.ANYWHERE;
        }
        String name = step.preferredRack().orElseThrow();
        Rack rack = rack(name, step, pool.get());
        Resources need = step.reservation();
        Boolean stepWaits = mStepWaits.get(task.step());
        if (stepWaits != null) {
            return stepWaits ? Choice.WAIT : Choice.ANYWHERE;
        }
        boolean fitsNow = rack.timeline().fitsNow(need);
        if (fitsNow) {
            Optional<TrackedWorker> worker = mSelector.select(task, rack.workers(), pool, mNowMs);
            if (worker.isPresent()) {
                return new Choice(worker, false);
            }
        }
        // With room and yet no worker, a limit of the step binds, whose end is not foreseen.
        boolean waits = !fitsNow && stepWaits(ready, rack.timeline(), name);
        mStepWaits.put(task.step(), waits);
        return waits ? Choice.WAIT : Choice.ANYWHERE;
    }

    // A step ends with its last task, so its tasks wait only if all of them get a place in time.
    private boolean stepWaits(ReadyStep ready, RackTimeline timeline, String rack) {
        TrackedStep step = ready.step();
        Resources need = step.specification().reservation();
        int count = (int) ready.tasks().stream().filter(task -> task.isReady(mNowMs)).count();
        double durationMs = nearDurationMs(step);
        double lossMs = durationMs * (mRatios.farFactor(ready.queue().name()) - 1);
        long startMs = timeline.earliestStartMs(need);
        boolean mayPay = startMs - mNowMs <= lossMs;
        if (mayPay) {
            startMs =
                    ++mSimulations <= MAXIMUM_SIMULATIONS
                            ? timeline.earliestStartMs(need, count, durationMs)
                            : WorkerTimeline.NEVER;
        }
        if (!decide(waitCase(ready, startMs), step, rack, startMs)) {
            return false;
        }
        timeline.claimAll(need, count, durationMs);
        return true;
    }

    /** Returns the racks in which a gang may start now; those with most room come first. */
    List<List<TrackedWorker>> gangRacks(TrackedStep gang, Optional<WorkerPool> pool) {
        StepSpecification step = gang.specification();
        if (!mayWaitAsGang(step) || pool.isEmpty()) {
            return List.of();
        }
        return candidates(step).stream()
                .map(name -> rack(name, step, pool.get()).workers())
                .filter(workers -> mayHold(workers, step))
                .toList();
    }

    /** Returns whether a gang that fits into no rack now waits for one. */
    boolean gangWaits(ReadyStep ready, Optional<WorkerPool> pool) {
        StepSpecification step = ready.step().specification();
        if (!mayWaitAsGang(step) || pool.isEmpty()) {
            return false;
        }
        long earliestMs = WorkerTimeline.NEVER;
        Optional<String> earliest = Optional.empty();
        for (String name : candidates(step)) {
            RackTimeline timeline = rack(name, step, pool.get()).timeline();
            long startMs =
                    timeline.earliestStartMs(step.reservation(), step.count(), Integer.MAX_VALUE);
            if (startMs < earliestMs) {
                earliestMs = startMs;
                earliest = Optional.of(name);
            }
        }
        // A rack that seems free but took no member is held back by a limit of the step.
        long startMs = earliestMs <= mNowMs ? WorkerTimeline.NEVER : earliestMs;
        WaitCase waiting = waitCase(ready, startMs);
        if (!decide(waiting, ready.step(), earliest.orElse(""), startMs)) {
            return false;
        }
        earliest.ifPresent(
                name ->
                        rack(name, step, pool.get())
                                .timeline()
                                .claimAll(
                                        step.reservation(),
                                        step.count(),
                                        waiting.nearDurationMs()));
        return true;
    }

    private boolean mayWaitAsGang(StepSpecification step) {
        return mRatios.isRackAware()
                && step.gang()
                && (step.sameRack() || step.preferredRack().isPresent())
                && !step.bestEffort()
                && !step.longRunning();
    }

    private List<String> candidates(StepSpecification step) {
        if (!mGangRacksKnown) {
            mGangRacksKnown = true;
            Set<String> known = new HashSet<>(mWorkersByRack.keySet());
            for (TrackedWorker worker : mWorkers) {
                worker.rack()
                        .filter(rack -> !known.contains(rack))
                        .ifPresent(
                                rack ->
                                        mWorkersByRack
                                                .computeIfAbsent(rack, key -> new ArrayList<>())
                                                .add(worker));
            }
        }
        if (step.preferredRack().isPresent()) {
            return List.of(step.preferredRack().get());
        }
        return mWorkersByRack.entrySet().stream()
                .sorted(Comparator.comparingLong(entry -> -freeProcessorsMilli(entry.getValue())))
                .limit(MAXIMUM_GANG_RACKS)
                .map(Map.Entry::getKey)
                .toList();
    }

    private static long freeProcessorsMilli(List<TrackedWorker> workers) {
        return workers.stream()
                .filter(TrackedWorker::mayTakeWork)
                .mapToLong(TrackedWorker::freeProcessorsMilli)
                .sum();
    }

    private static boolean mayHold(List<TrackedWorker> workers, StepSpecification step) {
        return freeProcessorsMilli(workers) >= step.count() * step.reservation().processorsMilli();
    }

    private boolean decide(WaitCase waiting, TrackedStep step, String rack, long startMs) {
        WaitDecision decision = mPolicy.decide(waiting);
        mTrackedSteps.put(key(step), step);
        mTracker.onDecided(waiting, decision, rack, startMs);
        return decision == WaitDecision.WAIT;
    }

    private WaitCase waitCase(ReadyStep ready, long nearStartMs) {
        TrackedStep step = ready.step();
        JobQueue queue = ready.queue();
        double nearMs = nearDurationMs(step);
        double farMs = nearMs * mRatios.farFactor(queue.name());
        double slackMs =
                CompletionEstimate.slackMs(
                        step.job().occurrences().get(step.occurrence()),
                        queue,
                        DispatchOrder.waitingSinceMs(step),
                        mRatios.ratio(queue.name()),
                        mUnixMs);
        return new WaitCase(
                key(step),
                mNowMs,
                mTracker.readySinceMs(key(step), mNowMs),
                mTracker.correctedStartMs(nearStartMs, mNowMs),
                nearMs,
                farMs,
                OptionalLong.of(mNowMs + Math.round(slackMs - (farMs - nearMs))));
    }

    private double nearDurationMs(TrackedStep step) {
        return step.specification().estimateMs() * mRatios.ratio(step.job().submission().queue());
    }

    private Rack rack(String name, StepSpecification step, WorkerPool pool) {
        PlaceKind kind = new PlaceKind(name, pool.service(), step.requiredLabel());
        return mRacks.computeIfAbsent(kind, key -> createRack(name, step, pool));
    }

    private Rack createRack(String name, StepSpecification step, WorkerPool pool) {
        List<TrackedWorker> usable =
                mWorkersByRack.getOrDefault(name, List.of()).stream()
                        .filter(worker -> mSelector.mayTakeWork(step, worker, pool, mNowMs))
                        .toList();
        List<WorkerTimeline> timelines =
                usable.stream()
                        .map(
                                worker ->
                                        mWorkerTimelines.computeIfAbsent(
                                                worker, this::createTimeline))
                        .toList();
        return new Rack(usable, new RackTimeline(timelines));
    }

    private WorkerTimeline createTimeline(TrackedWorker worker) {
        WorkerTimeline timeline = new WorkerTimeline(worker.capacity(), mNowMs);
        worker.runs().forEach(run -> addRun(timeline, run));
        return timeline;
    }

    private void addRun(WorkerTimeline timeline, TrackedRun run) {
        StepSpecification step = run.task().specification();
        timeline.addRun(
                step.reservation(), step.longRunning() ? WorkerTimeline.NEVER : expectedEndMs(run));
    }

    private long expectedEndMs(TrackedRun run) {
        double factor =
                run.isFar() ? mRatios.farFactor(run.task().step().job().submission().queue()) : 1;
        boolean started =
                run.phase() == RunPhase.START_SENT
                        || (run.phase() == RunPhase.RUNNING && run.startSentAtMs() > 0);
        RunProgress progress = run.progress();
        long remainingMs = progress.remainingMs(progress.sampledAtMs());
        return new RunEstimate(
                        nearDurationMs(run.task().step()) * factor,
                        started ? OptionalLong.of(run.startSentAtMs()) : OptionalLong.empty(),
                        progress.isSampled()
                                ? OptionalLong.of(progress.sampledAtMs())
                                : OptionalLong.empty(),
                        progress.percent(),
                        remainingMs >= 0 ? OptionalLong.of(remainingMs) : OptionalLong.empty())
                .expectedEndMs(mNowMs);
    }

    /** Handles the start of a task in this round. */
    void onStarted(TrackedRun run) {
        WorkerTimeline timeline = mWorkerTimelines.get(run.worker());
        if (timeline != null) {
            addRun(timeline, run);
        }
        StepSpecification step = run.task().specification();
        if (mayWait(step) || mayWaitAsGang(step)) {
            mTracker.onStarted(key(run.task().step()), !run.isFar());
        }
    }
}
