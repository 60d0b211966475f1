package review;

import java.util.List;
import java.util.Optional;

/**
 * A machine is removed for good, with its agent and its minion, and the owner of the jobs is killed
 * at nearly the same time. The lasting task of that machine has to run again.
 */
final class LostMachine extends Case {
    private static final int CPU = 1_000;
    private static final int BACK_AFTER_MS = 1_000;
    private static final int CALM_BEFORE_MS = 4_000;
    private static final int SINCE_LAST_RUN_MS = 6_000;
    private static final int IDLE_MS = 3_000;
    private static final int OBSERVE_MS = 25_000;
    private static final int SAMPLE_MS = 20;

    @Override
    int run() throws Exception {
        mFleet.start(4, 11, task -> CPU, note -> {});
        Clock.sleep(4_000);
        String job = newJob();
        if (!mFleet.submit(job, job(spec(-1, 0), 1, CPU, 400, ",\"perpetual\":true"))) {
            return notRun("the job is not accepted");
        }
        Clock.sleep(5_000);
        Optional<String> found =
                mFleet.agents().stream()
                        .filter(agent -> !mFleet.workerOf(agent).running().isEmpty())
                        .findFirst();
        if (found.isEmpty()) {
            return notRun("the task does not run");
        }
        String agent = found.get();
        String owner = mFleet.store().lastConditionalWriter();
        if (mTrouble) {
            mFleet.kill(agent);
            mFleet.workerOf(agent).crash();
        }
        long lastRunMs = Clock.nowMs();
        if (mTrouble) {
            mFleet.kill(owner);
            Clock.sleep(BACK_AFTER_MS);
            mFleet.launch(owner);
            if (!mFleet.awaitReady(List.of(owner), 10_000)) {
                return notRun("the entry does not come back");
            }
        }
        long calmSinceMs = Clock.nowMs();
        long fromMs =
                Math.max(calmSinceMs + CALM_BEFORE_MS, lastRunMs + SINCE_LAST_RUN_MS);
        long idleSinceMs = fromMs;
        long longestMs = 0;
        while (Clock.nowMs() - calmSinceMs < OBSERVE_MS) {
            long nowMs = Clock.nowMs();
            if (nowMs < fromMs || mFleet.isRunning(job)) {
                idleSinceMs = nowMs;
            }
            longestMs = Math.max(longestMs, nowMs - idleSinceMs);
            Clock.sleep(SAMPLE_MS);
        }
        mRecord.line("longest calm time with nothing running: %d ms", longestMs);
        return longestMs >= IDLE_MS ? BROKEN : HELD;
    }
}
