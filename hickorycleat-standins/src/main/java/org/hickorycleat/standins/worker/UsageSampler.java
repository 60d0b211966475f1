package org.hickorycleat.standins.worker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.hickorycleat.model.task.TaskState;

/** Measures usage and shows each measurement only after a lag; thread-safe. */
final class UsageSampler {
    private static final long INTERVAL_MS = 1_000;

    private final SimulatedWorker mWorker;
    private final Deque<Sample> mSamples = new ArrayDeque<>();

    UsageSampler(SimulatedWorker worker) {
        mWorker = worker;
    }

    /** Takes a measurement; expected more often than once a second. */
    synchronized void sample() {
        long nowMs = mWorker.clockMs();
        if (!mSamples.isEmpty() && nowMs - mSamples.getLast().atMs() < INTERVAL_MS) {
            return;
        }
        List<AttemptStatus> running =
                mWorker.tasks().stream().filter(task -> task.state() == TaskState.RUNNING).toList();
        mSamples.addLast(new Sample(nowMs, running));
        while (mSamples.size() > 1 && isDue(second(), nowMs)) {
            mSamples.removeFirst();
        }
    }

    /** Returns the latest measurement that is older than the lag. */
    synchronized List<TaskUsageSample> usage() {
        long nowMs = mWorker.clockMs();
        if (mSamples.isEmpty() || !isDue(mSamples.getFirst(), nowMs)) {
            return List.of();
        }
        Sample sample = mSamples.getFirst();
        return sample.running().stream()
                .map(
                        task ->
                                new TaskUsageSample(
                                        task.key().task(),
                                        task.resources().processorsMilli()
                                                * task.throttlePermille()
                                                / 1000,
                                        task.resources().memoryMebibytes(),
                                        nowMs - sample.atMs()))
                .toList();
    }

    private Sample second() {
        return mSamples.stream().skip(1).findFirst().orElseThrow();
    }

    private boolean isDue(Sample sample, long nowMs) {
        return nowMs - sample.atMs() >= mWorker.options().usageLagMs();
    }

    private record Sample(long atMs, List<AttemptStatus> running) {}
}
