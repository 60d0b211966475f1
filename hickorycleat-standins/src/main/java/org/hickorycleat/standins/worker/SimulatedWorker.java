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

/** Simulates a worker whose tasks are timers; all methods are thread-safe. */
public final class SimulatedWorker {
    /** The worker interface guarantees that ended attempts are kept for 24 h. */
    private static final long RETENTION_MS = 24 * 3_600_000L;

    private final WorkerOptions mOptions;
    private final LongSupplier mClock;
    private final LongSupplier mWallClock;
    private final Map<TaskId, SimulatedAttempt> mAttempts = new LinkedHashMap<>();
    private final Map<ShardNumber, Epoch> mHighestEpochs = new HashMap<>();
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

    /** Returns the time of the monotonic clock in milliseconds. */
    public long clockMs() {
        return mClock.getAsLong();
    }

    /** Sets whether every task that starts fails, and after how many milliseconds it does. */
    public synchronized void setFailing(boolean failing, long afterMs) {
        mFailing = failing;
        mFailAfterMs = afterMs;
    }

    /** Ends the attempts that have completed or whose lease has expired. */
    public synchronized void endDueAttempts() {
        long nowMs = clockMs();
        for (SimulatedAttempt attempt : mAttempts.values()) {
            if (!attempt.isRunning()) {
                continue;
            }
            if (attempt.completionMs() <= Math.min(attempt.leaseUntilMs(), nowMs)) {
                TaskState state = mFailing ? TaskState.FAILED : TaskState.SUCCEEDED;
                end(attempt, "end", state, attempt.completionMs());
            } else if (attempt.leaseUntilMs() <= nowMs) {
                end(attempt, "expire", TaskState.EXPIRED, attempt.leaseUntilMs());
            }
        }
        mAttempts.values().removeIf(attempt -> nowMs - RETENTION_MS >= attempt.endedMs());
    }

    /**
     * Removes all attempts and epochs and starts a new incarnation, as a restart of the VM does.
     */
    public synchronized void restart() {
        endDueAttempts();
        for (SimulatedAttempt attempt : mAttempts.values()) {
            if (attempt.isRunning()) {
                end(attempt, "end", TaskState.FAILED, clockMs());
            }
        }
        mAttempts.clear();
        mHighestEpochs.clear();
        mIncarnation = new Incarnation(Math.max(mIncarnation.value() + 1, mWallClock.getAsLong()));
    }

    /**
     * Raises the highest epoch seen of a shard.
     *
     * @return {@code STALE_EPOCH} if a higher epoch has been seen, otherwise {@code OK}
     */
    public synchronized ResultCode fence(ShardNumber shard, Epoch epoch) {
        endDueAttempts();
        Epoch highest = mHighestEpochs.getOrDefault(shard, new Epoch(-1));
        if (epoch.compareTo(highest) < 0) {
            return ResultCode.STALE_EPOCH;
        }
        mHighestEpochs.put(shard, epoch);
        return ResultCode.OK;
    }

    /**
     * Starts an attempt and stops an older attempt of the same task.
     *
     * <p>A duplicate command returns the status of the attempt that it started before.
     */
    public synchronized CommandResponse start(StartCommand command) {
        ResultCode fenceResult = fence(command.key().shard(), command.epoch());
        if (fenceResult != ResultCode.OK) {
            return CommandResponse.of(fenceResult);
        }
        if (!command.incarnation().equals(mIncarnation) || command.leaseUntilMs() <= clockMs()) {
            return CommandResponse.of(ResultCode.LEASE_EXPIRED);
        }
        Optional<SimulatedAttempt> lastAttempt =
                Optional.ofNullable(mAttempts.get(command.key().task()));
        int comparison =
                lastAttempt.map(attempt -> compareAttempts(attempt, command.key())).orElse(-1);
        if (comparison >= 0) {
            return comparison == 0
                    ? response(lastAttempt.get())
                    : CommandResponse.of(ResultCode.STALE_ATTEMPT);
        }
        lastAttempt.filter(SimulatedAttempt::isRunning).ifPresent(this::stopAttempt);
        return startNewAttempt(command);
    }

    private CommandResponse startNewAttempt(StartCommand command) {
        boolean hasCapacity =
                usedResources().plus(command.resources()).fitsInto(mOptions.capacity());
        SimulatedAttempt attempt =
                new SimulatedAttempt(
                        command.key(),
                        command.resources(),
                        actualRunTimeMs(command.runMs()),
                        command.leaseUntilMs(),
                        hasCapacity ? TaskState.RUNNING : TaskState.REFUSED);
        mAttempts.put(command.key().task(), attempt);
        attempt.resume(
                command.checkpoint().map(SimulatedWorker::checkpointProgressMs).orElse(0L),
                clockMs());
        if (!hasCapacity) {
            attempt.end(TaskState.REFUSED, clockMs());
            return new CommandResponse(
                    ResultCode.INSUFFICIENT_RESOURCES, Optional.of(status(attempt)));
        }
        record("start", attempt);
        return response(attempt);
    }

    private long actualRunTimeMs(long runMs) {
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
            List<AttemptKey> attempts,
            long leaseUntilMs) {
        ResultCode fenceResult = fence(shard, epoch);
        if (fenceResult != ResultCode.OK) {
            return fenceResult;
        }
        if (!incarnation.equals(mIncarnation) || leaseUntilMs <= clockMs()) {
            return ResultCode.LEASE_EXPIRED;
        }
        attempts.forEach(
                key -> runningAttempt(key).ifPresent(attempt -> attempt.renew(leaseUntilMs)));
        return ResultCode.OK;
    }

    /**
     * Stops an attempt.
     *
     * <p>An attempt that was never started is recorded as stopped, so that a delayed start command
     * for it has no effect.
     */
    public synchronized CommandResponse stop(AttemptKey key, Epoch epoch) {
        ResultCode fenceResult = fence(key.shard(), epoch);
        if (fenceResult != ResultCode.OK) {
            return CommandResponse.of(fenceResult);
        }
        Optional<SimulatedAttempt> lastAttempt = Optional.ofNullable(mAttempts.get(key.task()));
        int comparison = lastAttempt.map(attempt -> compareAttempts(attempt, key)).orElse(-1);
        if (comparison > 0) {
            return CommandResponse.of(ResultCode.STALE_ATTEMPT);
        }
        lastAttempt.filter(SimulatedAttempt::isRunning).ifPresent(this::stopAttempt);
        if (comparison < 0) {
            SimulatedAttempt attempt =
                    new SimulatedAttempt(key, Resources.NONE, 0, 0, TaskState.STOPPED);
            attempt.end(TaskState.STOPPED, clockMs());
            mAttempts.put(key.task(), attempt);
            return response(attempt);
        }
        return response(lastAttempt.get());
    }

    /** Saves a checkpoint. */
    public synchronized CommandResponse checkpoint(AttemptKey key, Epoch epoch) {
        return changeRunningAttempt(key, epoch, attempt -> attempt.saveCheckpoint(clockMs()));
    }

    /** Throttles an attempt to a share of its full speed. */
    public synchronized CommandResponse throttle(AttemptKey key, Epoch epoch, int permille) {
        return changeRunningAttempt(key, epoch, attempt -> attempt.throttle(permille, clockMs()));
    }

    private CommandResponse changeRunningAttempt(
            AttemptKey key, Epoch epoch, Consumer<SimulatedAttempt> change) {
        ResultCode fenceResult = fence(key.shard(), epoch);
        if (fenceResult != ResultCode.OK) {
            return CommandResponse.of(fenceResult);
        }
        Optional<SimulatedAttempt> attempt =
                Optional.ofNullable(mAttempts.get(key.task()))
                        .filter(last -> last.key().equals(key));
        if (attempt.isEmpty()) {
            return CommandResponse.of(ResultCode.UNKNOWN_TASK);
        }
        attempt.filter(SimulatedAttempt::isRunning).ifPresent(change);
        return response(attempt.get());
    }

    /** Returns the status of the last attempt of each task. */
    public synchronized List<AttemptStatus> tasks() {
        endDueAttempts();
        return mAttempts.values().stream().map(SimulatedWorker::status).toList();
    }

    /** Returns a copy of the history of attempts. */
    public synchronized List<AttemptEvent> events() {
        endDueAttempts();
        return List.copyOf(mEvents);
    }

    private Optional<SimulatedAttempt> runningAttempt(AttemptKey key) {
        return Optional.ofNullable(mAttempts.get(key.task()))
                .filter(attempt -> attempt.isRunning() && attempt.key().equals(key));
    }

    private Resources usedResources() {
        return mAttempts.values().stream()
                .filter(SimulatedAttempt::isRunning)
                .map(SimulatedAttempt::resources)
                .reduce(Resources.NONE, Resources::plus);
    }

    private void stopAttempt(SimulatedAttempt attempt) {
        end(attempt, "stop", TaskState.STOPPED, clockMs());
    }

    private void end(SimulatedAttempt attempt, String event, TaskState state, long atMs) {
        attempt.end(state, atMs);
        mEvents.add(
                new AttemptEvent(
                        mWallClock.getAsLong() - (clockMs() - atMs),
                        event,
                        attempt.key(),
                        attempt.progressMs(atMs),
                        state));
    }

    private void record(String event, SimulatedAttempt attempt) {
        mEvents.add(
                new AttemptEvent(
                        mWallClock.getAsLong(),
                        event,
                        attempt.key(),
                        attempt.progressMs(clockMs()),
                        attempt.state()));
    }

    private static int compareAttempts(SimulatedAttempt attempt, AttemptKey key) {
        return attempt.key().attempt().compareTo(key.attempt());
    }

    private static CommandResponse response(SimulatedAttempt attempt) {
        return new CommandResponse(ResultCode.OK, Optional.of(status(attempt)));
    }

    private static AttemptStatus status(SimulatedAttempt attempt) {
        return new AttemptStatus(
                attempt.key(),
                attempt.state(),
                attempt.resources(),
                attempt.throttlePermille(),
                attempt.checkpoint(),
                attempt.checkpointedProgressMs());
    }

    private static long checkpointProgressMs(String checkpoint) {
        return Long.parseLong(checkpoint.substring(checkpoint.lastIndexOf('@') + 1));
    }
}
