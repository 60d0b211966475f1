package review;

import java.util.function.BooleanSupplier;

/**
 * Watches whether a job has nothing running for some time, while its task's turn has come, one
 * minion has room for twice what the task asks for, and under half of the service is in use.
 */
final class IdleWatch {
    private static final int ASK_MS = 5_000;

    private final Fleet mFleet;
    private final Record mRecord;
    private final String mJob;
    private final int mTwiceCpu;
    private final BooleanSupplier mAllDone;

    /**
     * Creates the watch.
     *
     * @param allDone returns whether every task of the job has ended done
     */
    IdleWatch(
            Fleet fleet, Record record, String job, int twiceCpu, BooleanSupplier allDone) {
        mFleet = fleet;
        mRecord = record;
        mJob = job;
        mTwiceCpu = twiceCpu;
        mAllDone = allDone;
    }

    /** Returns whether the job was idle for that long at a time; ends when it is completed. */
    boolean isIdleFor(long idleMs, long observeMs, long sampleMs) {
        long startMs = Clock.nowMs();
        long idleSinceMs = startMs;
        long askedMs = Long.MIN_VALUE / 2;
        long longestMs = 0;
        while (Clock.nowMs() - startMs < observeMs) {
            if (mAllDone.getAsBoolean()) {
                mRecord.line("all tasks of %s have ended done", mJob);
                break;
            }
            long nowMs = Clock.nowMs();
            boolean room =
                    mFleet.workers().stream()
                            .anyMatch(one -> Worker.capacity() - one.usedCpu() >= mTwiceCpu);
            boolean quiet = 2 * mFleet.usedCpu() < mFleet.totalCpu();
            if (mFleet.isRunning(mJob) || !room || !quiet) {
                idleSinceMs = nowMs;
            }
            longestMs = Math.max(longestMs, nowMs - idleSinceMs);
            if (nowMs - askedMs > ASK_MS) {
                askedMs = nowMs;
                mFleet.isCompleted(mJob);
            }
            Clock.sleep(sampleMs);
        }
        mRecord.line("job %s: longest time with nothing running %d ms", mJob, longestMs);
        return longestMs >= idleMs;
    }
}
