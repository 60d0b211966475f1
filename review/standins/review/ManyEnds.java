package review;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A large job of small tasks; all of its tasks end while the store is down, so that a minion has
 * more ends to list than it returns at a time. No task may start again after a run of it has ended
 * done and that end is taken note of.
 */
final class ManyEnds extends Case {
    private static final int CPU = 20;
    private static final int COUNT = 1_300;
    private static final int WORK_MS = 6_000;
    private static final int DOWN_MS = 4_500;
    private static final int SETTLE_MS = 25_000;

    private final Map<String, Integer> mDoneRun = new HashMap<>();
    private final Map<String, Integer> mLastRun = new HashMap<>();
    private final Set<String> mTwice = new HashSet<>();
    private int mStarts;
    private int mNoted;

    private synchronized void onNote(String note) {
        String[] words = note.split(" ");
        int run = Integer.parseInt(words[2]);
        if (words[0].equals("start")) {
            mStarts++;
            mLastRun.merge(words[1], run, Math::max);
            if (mDoneRun.containsKey(words[1])) {
                mTwice.add(words[1]);
            }
        } else if (words[0].equals("noted") && words[3].equals("done")) {
            mNoted++;
            mDoneRun.putIfAbsent(words[1], run);
            if (mLastRun.get(words[1]) > run) {
                // It started again after this run; the end of this run is taken note of now.
                mTwice.add(words[1]);
            }
        }
    }

    private synchronized int starts() {
        return mStarts;
    }

    @Override
    int run() throws Exception {
        mFleet.start(2, 2, task -> CPU, this::onNote);
        Clock.sleep(4_000);
        String job = newJob();
        if (!mFleet.submit(job, job(spec(WORK_MS, 0), COUNT, CPU, WORK_MS, ""))) {
            return notRun("the job is not accepted");
        }
        long startMs = Clock.nowMs();
        while (starts() < COUNT) {
            if (Clock.nowMs() - startMs > WORK_MS) {
                return notRun("the tasks do not start in time: " + starts());
            }
            Clock.sleep(10);
        }
        mRecord.line("all tasks run after %d ms", Clock.nowMs() - startMs);
        Clock.sleep(WORK_MS - 700 - (Clock.nowMs() - startMs));
        if (mTrouble) {
            mFleet.store().setSilent(true);
            Clock.sleep(DOWN_MS);
            mFleet.store().setSilent(false);
        }
        mFleet.awaitCompleted(job, SETTLE_MS);
        Clock.sleep(3_000);
        synchronized (this) {
            mRecord.line(
                    "starts %d, ends done taken note of %d, tasks that started again %d",
                    mStarts, mNoted, mTwice.size());
            return mTwice.isEmpty() ? HELD : BROKEN;
        }
    }
}
