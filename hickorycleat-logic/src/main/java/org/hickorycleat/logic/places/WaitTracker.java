package org.hickorycleat.logic.places;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Predicate;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.model.job.TaskKey;

/**
 * Tracks since when steps are ready for their rack, which of them wait, and how waits end. A step
 * is identified by the key of its first task.
 */
public final class WaitTracker {
    private final DecisionLog mLog;
    private final Map<TaskKey, Entry> mEntries = new HashMap<>();
    private final WaitCorrection mCorrection = new WaitCorrection();
    private WaitCounters mCounters = WaitCounters.NONE;
    private int mWaiting;

    /** State of one ready step. */
    private static final class Entry {
        private final long mReadySinceMs;
        private boolean mWaits;
        private long mWaitsSinceMs;
        private long mExpectedStartMs;
        private boolean mStartedNear;

        Entry(long readySinceMs) {
            mReadySinceMs = readySinceMs;
        }
    }

    /** Creates a tracker without steps. */
    public WaitTracker(DecisionLog log) {
        mLog = log;
    }

    /** Returns since when a step is known to be ready, in milliseconds: since the first call. */
    public long readySinceMs(TaskKey task, long nowMs) {
        return mEntries.computeIfAbsent(task, key -> new Entry(nowMs)).mReadySinceMs;
    }

    /**
     * Returns when a place is expected after correction by the waits that ended, in milliseconds.
     *
     * @param startMs expected start without correction
     */
    public long correctedStartMs(long startMs, long nowMs) {
        return startMs == WorkerTimeline.NEVER
                ? startMs
                : nowMs + Math.round((startMs - nowMs) * mCorrection.factor(nowMs));
    }

    /** Returns whether a step waits for its rack although it could start elsewhere. */
    public boolean isWaiting(TaskKey task) {
        Entry entry = mEntries.get(task);
        return entry != null && entry.mWaits;
    }

    /** Returns the number of steps that wait. */
    public int waiting() {
        return mWaiting;
    }

    /** Returns the counters since the last call. */
    public WaitCounters takeCounters() {
        WaitCounters counters = mCounters;
        mCounters = WaitCounters.NONE;
        return counters;
    }

    /**
     * Records the decision on a step.
     *
     * @param startMs expected start in the rack without correction, in milliseconds
     */
    public void onDecided(WaitCase waiting, WaitDecision decision, String rack, long startMs) {
        readySinceMs(waiting.task(), waiting.nowMs());
        Entry entry = mEntries.get(waiting.task());
        if (entry == null) {
            return;
        }
        if (decision == WaitDecision.WAIT && !entry.mWaits) {
            entry.mWaits = true;
            entry.mWaitsSinceMs = waiting.nowMs();
            entry.mExpectedStartMs = startMs;
            mWaiting++;
            mCounters = mCounters.withBegun();
            mLog.record(
                    "rack_wait_begun",
                    "step",
                    waiting.task(),
                    "rack",
                    rack,
                    "expected_wait_ms",
                    waiting.nearStartMs() - waiting.nowMs(),
                    "near_ms",
                    Math.round(waiting.nearDurationMs()),
                    "far_ms",
                    Math.round(waiting.farDurationMs()));
        } else if (decision != WaitDecision.WAIT && entry.mWaits) {
            if (startMs != WorkerTimeline.NEVER) {
                recordWait(entry, startMs, waiting.nowMs());
            }
            endWait(waiting.task(), entry, decision.name(), waiting.nowMs());
        }
    }

    /** Records the start of a task of a step. */
    public void onStarted(TaskKey step, boolean near) {
        mCounters = near ? mCounters.withNearStart() : mCounters.withFarStart();
        Entry entry = mEntries.get(step);
        if (entry != null) {
            entry.mStartedNear = near;
        }
    }

    /** Forgets the steps that have no ready task any more. */
    public void retain(Predicate<TaskKey> ready, long nowMs) {
        Iterator<Map.Entry<TaskKey, Entry>> entries = mEntries.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<TaskKey, Entry> next = entries.next();
            if (!ready.test(next.getKey())) {
                entries.remove();
                onGone(next.getKey(), next.getValue(), nowMs);
            }
        }
    }

    private void onGone(TaskKey step, Entry entry, long nowMs) {
        if (!entry.mWaits) {
            return;
        }
        if (entry.mStartedNear) {
            recordWait(entry, nowMs, nowMs);
        }
        endWait(step, entry, entry.mStartedNear ? "PLACE_FREE" : "WITHDRAWN", nowMs);
    }

    private void recordWait(Entry entry, long startMs, long nowMs) {
        mCorrection.record(
                entry.mExpectedStartMs - entry.mWaitsSinceMs, startMs - entry.mWaitsSinceMs, nowMs);
    }

    private void endWait(TaskKey task, Entry entry, String cause, long nowMs) {
        long waitedMs = nowMs - entry.mWaitsSinceMs;
        entry.mWaits = false;
        mWaiting--;
        mCounters = mCounters.withWaited(waitedMs);
        mLog.record("rack_wait_ended", "step", task, "cause", cause, "waited_ms", waitedMs);
    }
}
