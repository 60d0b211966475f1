/** One run of a task on a server, as the server saw it. */
final class Run {
    final String mTask;
    final int mNumber;
    final Job mJob;
    final Job.Step mStep;
    final String mServer;
    final long mStartMs;
    /** Work done before this run, in milliseconds. */
    final long mResumedMs;

    long mWorkedMs;
    long mAttemptsAtStart;
    long mStopAtMs = Long.MAX_VALUE;
    long mEndMs = -1;
    String mHow = "open";
    long mEndNumber;
    long mListedMs = -1;
    long mAcknowledgedMs = -1;
    boolean mLapsedBeforeAck;

    Run(String task, int number, Job job, Job.Step step, String server, long nowMs, long resumed) {
        mTask = task;
        mNumber = number;
        mJob = job;
        mStep = step;
        mServer = server;
        mStartMs = nowMs;
        mResumedMs = resumed;
    }

    /** Returns the name of the gang of the run: its step and its number. */
    String gang() {
        return mTask.substring(0, mTask.lastIndexOf('.')) + "#" + mNumber;
    }

    String step() {
        return mTask.substring(0, mTask.lastIndexOf('.'));
    }

    static String checkpoint(String task, boolean gang, long workedMs, int length) {
        String owner = gang ? task.substring(0, task.lastIndexOf('.')) : task;
        String start = String.format("%08x%08x", workedMs, owner.hashCode());
        return start + "0".repeat(Math.max(0, length - start.length()));
    }

    @Override
    public String toString() {
        return String.format(
                "%s run %d on %s from %.3f to %.3f: %s end=%d listed=%.3f noted=%.3f",
                mTask,
                mNumber,
                mServer,
                mStartMs / 1000.0,
                mEndMs / 1000.0,
                mHow,
                mEndNumber,
                mListedMs / 1000.0,
                mAcknowledgedMs / 1000.0);
    }
}
