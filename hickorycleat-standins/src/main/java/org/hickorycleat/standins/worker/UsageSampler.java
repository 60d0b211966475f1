package org.hickorycleat.standins.worker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.hickorycleat.model.task.TaskState;

/** Samples resource usage and reports each sample after a configured lag; thread-safe. */
final class UsageSampler {
    private static final long SAMPLE_INTERVAL_MS = 1_000;

    private final SimulatedWorker mWorker;
    private final Deque<Sample> mSamples = new ArrayDeque<>();

    UsageSampler(SimulatedWorker worker) {
        mWorker = worker;
    }

    /**
     * Takes a sample if the last one is at least a second old; must be called more often than that.
     */
    synchronized void sample() {
        long nowMs = mWorker.clockMs();
        if (!mSamples.isEmpty() && nowMs - mSamples.getLast().atMs() < SAMPLE_INTERVAL_MS) {
            return;
        }
        List<AttemptStatus> running =
                mWorker.tasks().stream().filter(task -> task.state() == TaskState.RUNNING).toList();
        mSamples.addLast(new Sample(nowMs, running));
        while (mSamples.size() > 1 && hasReachedLag(secondSample(), nowMs)) {
            mSamples.removeFirst();
        }
    }

    /** Returns the latest sample whose age has reached the lag, or nothing if there is none. */
    synchronized List<TaskUsageSample> usage() {
        long nowMs = mWorker.clockMs();
        if (mSamples.isEmpty() || !hasReachedLag(mSamples.getFirst(), nowMs)) {
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

    private Sample secondSample() {
        return mSamples.stream().skip(1).findFirst().orElseThrow();
    }

    private boolean hasReachedLag(Sample sample, long nowMs) {
        return nowMs - sample.atMs() >= mWorker.options().usageLagMs();
    }

    private record Sample(long atMs, List<AttemptStatus> running) {}
}
