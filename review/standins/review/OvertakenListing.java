package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Usual traffic, while responses of minions on different connections overtake each other and some
 * orders get no answer and are carried out late. No task may run twice at the same time.
 */
final class OvertakenListing extends Case {
    private static final double LATE_SHARE = 0.055;
    private static final int LATE_MS = 5_500;
    private static final int OVERTAKEN_MS = 120;
    private static final int TRAFFIC_MS = 30_000;
    private static final int PERIOD_MS = 10_000;
    private static final int JOB_INTERVAL_MS = 170;

    private final Map<String, Set<Integer>> mRunning = new HashMap<>();
    private final Set<String> mTwice = new HashSet<>();

    private synchronized void onNote(String note) {
        String[] words = note.split(" ");
        Set<Integer> runs = mRunning.computeIfAbsent(words[1], task -> new HashSet<>());
        int run = Integer.parseInt(words[2]);
        if (words[0].equals("start")) {
            runs.add(run);
            if (runs.size() > 1) {
                mTwice.add(words[1]);
                mRecord.line("task %s runs twice at the same time: %s", words[1], runs);
            }
        } else if (words[0].equals("end")) {
            runs.remove(run);
        }
    }

    @Override
    int run() throws Exception {
        mFleet.start(4, 11, task -> 500, this::onNote);
        Clock.sleep(4_000);
        mFleet.workers().forEach(one -> one.setOvertaken(OVERTAKEN_MS));
        List<String> jobs = new ArrayList<>();
        long startMs = Clock.nowMs();
        ThreadLocalRandom random = ThreadLocalRandom.current();
        boolean late = false;
        while (Clock.nowMs() - startMs < TRAFFIC_MS) {
            boolean now = mTrouble && (Clock.nowMs() - startMs) % PERIOD_MS < LATE_MS;
            if (now != late) {
                late = now;
                mRecord.line("orders are carried out late: %s", late);
                mFleet.workers().forEach(one -> one.setAppliedLate(now ? LATE_SHARE : 0));
            }
            String job = newJob();
            jobs.add(job);
            String entry = mFleet.entries().get(jobs.size() % 4);
            long runMs = random.nextLong(300, 1_600);
            Http.THREADS.execute(
                    () -> mFleet.call(entry, "POST", job, job(spec(runMs, 0), 9, 500, 900, "")));
            Clock.sleep(JOB_INTERVAL_MS);
        }
        Clock.sleep(14_000);
        synchronized (this) {
            mRecord.line("tasks that ran twice at the same time: %d", mTwice.size());
            return mTwice.isEmpty() ? HELD : BROKEN;
        }
    }
}
