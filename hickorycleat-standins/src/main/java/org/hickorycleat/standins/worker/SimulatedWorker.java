package org.hickorycleat.standins.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskState;

/** A worker whose tasks are timers; all methods are thread-safe. */
public final class SimulatedWorker {
    /** The interface promises 24 h. */
    private static final long RETENTION_MS = 24 * 3_600_000L;

    private final WorkerOptions mOptions;
    private final LongSupplier mClock;
    private final LongSupplier mWallClock;
    private final Map<TaskId, SimulatedAttempt> mRuns = new LinkedHashMap<>();
    private final Map<ShardNumber, Epoch> mEpochs = new HashMap<>();
    private final List<AttemptEvent> mEvents = new ArrayList<>();
    private Incarnation mIncarnation;
    private boolean mFailing;
    private long mFailAfterMs = 100;

    /**
     * Creates a worker without tasks.
     *
     * @param clock monotonic milliseconds
     * @param wallClock milliseconds since 1970
     */
    public SimulatedWorker(WorkerOptions options, LongSupplier clock, LongSupplier wallClock) {
        mOptions = options;
        mClock = clock;
        mWallClock = wallClock;
        mIncarnation = new Incarnation(wallClock.getAsLong());
    }

    /** Returns the options. */
    public WorkerOptions options() {
        return mOptions;
    }

    /** Returns the incarnation. */
    public synchronized Incarnation incarnation() {
        return mIncarnation;
    }

    /** Returns the monotonic clock. */
    public long clockMs() {
        return mClock.getAsLong();
    }

    /** Sets whether every task that starts fails. */
    public synchronized void setFailing(boolean failing, long afterMs) {
        mFailing = failing;
        mFailAfterMs = afterMs;
    }

    /** Ends what has reached its end or the end of its lease by now. */
    public synchronized void endDueAttempts() {
        long nowMs = clockMs();
        for (SimulatedAttempt run : mRuns.values()) {
            if (!run.isRunning()) {
                continue;
            }
            if (run.finishMs() <= Math.min(run.leaseUntilMs(), nowMs)) {
                TaskState state = mFailing ? TaskState.FAILED : TaskState.SUCCEEDED;
                end(run, "end", state, run.finishMs());
            } else if (run.leaseUntilMs() <= nowMs) {
                end(run, "expire", TaskState.EXPIRED, run.leaseUntilMs());
            }
        }
        mRuns.values().removeIf(run -> nowMs - RETENTION_MS >= run.endedMs());
    }

    /** Drops all tasks and memory, as a restart of the VM does. */
    public synchronized void restart() {
        endDueAttempts();
        for (SimulatedAttempt run : mRuns.values()) {
            if (run.isRunning()) {
                end(run, "end", TaskState.FAILED, clockMs());
            }
        }
        mRuns.clear();
        mEpochs.clear();
        mIncarnation = new Incarnation(Math.max(mIncarnation.value() + 1, mWallClock.getAsLong()));
    }

    /** Raises the epoch of a shard. */
    public synchronized ResultCode fence(ShardNumber shard, Epoch epoch) {
        endDueAttempts();
        Epoch highest = mEpochs.getOrDefault(shard, new Epoch(-1));
        if (epoch.compareTo(highest) < 0) {
            return ResultCode.STALE_EPOCH;
        }
        mEpochs.put(shard, epoch);
        return ResultCode.OK;
    }

    /** Starts an attempt. */
    public synchronized CommandResponse start(StartCommand order) {
        ResultCode fenced = fence(order.key().shard(), order.epoch());
        if (fenced != ResultCode.OK) {
            return CommandResponse.of(fenced);
        }
        if (!order.incarnation().equals(mIncarnation) || order.leaseUntilMs() <= clockMs()) {
            return CommandResponse.of(ResultCode.LEASE_EXPIRED);
        }
        Optional<SimulatedAttempt> last = Optional.ofNullable(mRuns.get(order.key().task()));
        int comparison = last.map(run -> compare(run, order.key())).orElse(-1);
        if (comparison >= 0) {
            return comparison == 0
                    ? reply(last.get())
                    : CommandResponse.of(ResultCode.STALE_ATTEMPT);
        }
        last.filter(SimulatedAttempt::isRunning).ifPresent(this::stopRun);
        return startNew(order);
    }

    private CommandResponse startNew(StartCommand order) {
        boolean fits = used().plus(order.resources()).fitsInto(mOptions.capacity());
        SimulatedAttempt run =
                new SimulatedAttempt(
                        order.key(),
                        order.resources(),
                        realRunMs(order.runMs()),
                        order.leaseUntilMs(),
                        fits ? TaskState.RUNNING : TaskState.REFUSED);
        mRuns.put(order.key().task(), run);
        run.resume(order.checkpoint().map(SimulatedWorker::progress).orElse(0L), clockMs());
        if (!fits) {
            run.end(TaskState.REFUSED, clockMs());
            return new CommandResponse(ResultCode.INSUFFICIENT_RESOURCES, Optional.of(view(run)));
        }
        record("start", run);
        return reply(run);
    }

    private long realRunMs(long runMs) {
        if (mFailing) {
            return mFailAfterMs;
        }
        return runMs == 0 ? Long.MAX_VALUE : runMs * mOptions.runTimePermille() / 1000;
    }

    /** Extends the leases of attempts. */
    public synchronized ResultCode renew(
            ShardNumber shard,
            Epoch epoch,
            Incarnation incarnation,
            List<AttemptKey> tasks,
            long leaseUntilMs) {
        ResultCode fenced = fence(shard, epoch);
        if (fenced != ResultCode.OK) {
            return fenced;
        }
        if (!incarnation.equals(mIncarnation) || leaseUntilMs <= clockMs()) {
            return ResultCode.LEASE_EXPIRED;
        }
        tasks.forEach(key -> running(key).ifPresent(run -> run.renew(leaseUntilMs)));
        return ResultCode.OK;
    }

    /** Stops an attempt; one that was never seen is recorded as stopped. */
    public synchronized CommandResponse stop(AttemptKey key, Epoch epoch) {
        ResultCode fenced = fence(key.shard(), epoch);
        if (fenced != ResultCode.OK) {
            return CommandResponse.of(fenced);
        }
        Optional<SimulatedAttempt> last = Optional.ofNullable(mRuns.get(key.task()));
        int order = last.map(run -> compare(run, key)).orElse(-1);
        if (order > 0) {
            return CommandResponse.of(ResultCode.STALE_ATTEMPT);
        }
        last.filter(SimulatedAttempt::isRunning).ifPresent(this::stopRun);
        if (order < 0) {
            SimulatedAttempt run =
                    new SimulatedAttempt(key, Resources.NONE, 0, 0, TaskState.STOPPED);
            run.end(TaskState.STOPPED, clockMs());
            mRuns.put(key.task(), run);
            return reply(run);
        }
        return reply(last.get());
    }

    /** Saves a checkpoint. */
    public synchronized CommandResponse checkpoint(AttemptKey key, Epoch epoch) {
        return change(key, epoch, run -> run.save(clockMs()));
    }

    /** Limits the speed of an attempt. */
    public synchronized CommandResponse throttle(AttemptKey key, Epoch epoch, int permille) {
        return change(key, epoch, run -> run.throttle(permille, clockMs()));
    }

    private CommandResponse change(AttemptKey key, Epoch epoch, Consumer<SimulatedAttempt> change) {
        ResultCode fenced = fence(key.shard(), epoch);
        if (fenced != ResultCode.OK) {
            return CommandResponse.of(fenced);
        }
        Optional<SimulatedAttempt> run =
                Optional.ofNullable(mRuns.get(key.task())).filter(last -> last.key().equals(key));
        if (run.isEmpty()) {
            return CommandResponse.of(ResultCode.UNKNOWN_TASK);
        }
        run.filter(SimulatedAttempt::isRunning).ifPresent(change);
        return reply(run.get());
    }

    /** Returns the last attempt of each task. */
    public synchronized List<AttemptStatus> tasks() {
        endDueAttempts();
        return mRuns.values().stream().map(SimulatedWorker::view).toList();
    }

    /** Returns a copy of the worker's own record. */
    public synchronized List<AttemptEvent> events() {
        endDueAttempts();
        return List.copyOf(mEvents);
    }

    private Optional<SimulatedAttempt> running(AttemptKey key) {
        return Optional.ofNullable(mRuns.get(key.task()))
                .filter(run -> run.isRunning() && run.key().equals(key));
    }

    private Resources used() {
        return mRuns.values().stream()
                .filter(SimulatedAttempt::isRunning)
                .map(SimulatedAttempt::resources)
                .reduce(Resources.NONE, Resources::plus);
    }

    private void stopRun(SimulatedAttempt run) {
        end(run, "stop", TaskState.STOPPED, clockMs());
    }

    private void end(SimulatedAttempt run, String event, TaskState state, long atMs) {
        run.end(state, atMs);
        mEvents.add(
                new AttemptEvent(
                        mWallClock.getAsLong() - (clockMs() - atMs),
                        event,
                        run.key(),
                        run.progressMs(atMs),
                        state));
    }

    private void record(String event, SimulatedAttempt run) {
        mEvents.add(
                new AttemptEvent(
                        mWallClock.getAsLong(),
                        event,
                        run.key(),
                        run.progressMs(clockMs()),
                        run.state()));
    }

    private static int compare(SimulatedAttempt run, AttemptKey key) {
        return run.key().attempt().compareTo(key.attempt());
    }

    private static CommandResponse reply(SimulatedAttempt run) {
        return new CommandResponse(ResultCode.OK, Optional.of(view(run)));
    }

    private static AttemptStatus view(SimulatedAttempt run) {
        return new AttemptStatus(
                run.key(),
                run.state(),
                run.resources(),
                run.permille(),
                run.checkpoint(),
                run.savedMs());
    }

    private static long progress(String checkpoint) {
        return Long.parseLong(checkpoint.substring(checkpoint.lastIndexOf('@') + 1));
    }
}
