package review;

import java.util.HashSet;
import java.util.Set;

/**
 * A job whose tasks take ten times as long as estimated. After the end of the traffic some task of
 * it has to be at work, as all minions are free for it.
 */
final class LongTasks extends Case {
    private static final int CPU = 1_800;
    private static final int COUNT = 11;
    private static final int ESTIMATE_MS = 24_000;
    private static final int LONG_FACTOR = 10;
    private static final int FINISH_MS = 14_000;
    private static final int IDLE_MS = 3_000;
    private static final int OBSERVE_MS = 60_000;
    private static final int SAMPLE_MS = 20;

    private final Set<String> mDone = new HashSet<>();
    private int mStarts;
    private int mStopped;

    private synchronized void onNote(String note) {
        String[] words = note.split(" ");
        if (words[0].equals("start")) {
            mStarts++;
        } else if (words[0].equals("end") && words[3].equals("done")) {
            mDone.add(words[1]);
        } else if (words[0].equals("end") && words[3].equals("stopped")) {
            mStopped++;
        }
    }

    private synchronized boolean isDone() {
        return mDone.size() == COUNT;
    }

    @Override
    int run() throws Exception {
        mFleet.start(4, 11, task -> CPU, this::onNote);
        Clock.sleep(4_000);
        String job = newJob();
        long workMs = mTrouble ? (long) LONG_FACTOR * ESTIMATE_MS : ESTIMATE_MS;
        if (!mFleet.submit(job, job(spec(workMs, 0), COUNT, CPU, ESTIMATE_MS, ""))) {
            return notRun("the job is not accepted");
        }
        // End of the traffic.
        Clock.sleep(FINISH_MS);
        boolean idle =
                new IdleWatch(mFleet, mRecord, job, 2 * CPU, this::isDone)
                        .isIdleFor(IDLE_MS, OBSERVE_MS, SAMPLE_MS);
        synchronized (this) {
            mRecord.line(
                    "runs started %d, stopped by the system %d, tasks done %d of %d",
                    mStarts, mStopped, mDone.size(), COUNT);
        }
        return idle ? BROKEN : HELD;
    }
}
