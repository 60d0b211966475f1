package review;

import java.util.List;
import java.util.Optional;

/**
 * A lasting job is cancelled while the agent of one of its tasks is down; then the owner of the
 * jobs is killed. The task has to end once all processes are back.
 */
final class UnstoppedTask extends Case {
    private static final int CPU = 1_000;
    private static final int DOWN_MS = 2_000;
    private static final int STABLE_MS = 3_000;
    private static final int CANCEL_MS = 3_000;
    private static final int STOP_GRACE_MS = 400;
    private static final int MARGIN_MS = 5_000;

    @Override
    int run() throws Exception {
        mFleet.start(4, 11, task -> CPU, note -> {});
        String job = newJob();
        // A lasting task, as "perpetual" steps describe it.
        String body = job(spec(-1, 0), 6, CPU, 400, ",\"perpetual\":true");
        Clock.sleep(4_000);
        if (!mFleet.submit(job, body)) {
            return notRun("the job is not accepted");
        }
        Clock.sleep(5_000);
        Optional<String> victim =
                mFleet.agents().stream()
                        .filter(agent -> !mFleet.workerOf(agent).running().isEmpty())
                        .findFirst();
        if (victim.isEmpty()) {
            return notRun("no task runs");
        }
        String agent = victim.get();
        Worker worker = mFleet.workerOf(agent);
        String owner = mFleet.store().lastConditionalWriter();
        mRecord.line("%s runs %s; last conditional writer: %s", worker.id(), worker.running(), owner);
        if (mTrouble) {
            mFleet.kill(agent);
            Clock.sleep(300);
        }
        String other =
                mFleet.entries().stream().filter(entry -> !entry.equals(owner)).findFirst().get();
        Http.Answer cancelled = mFleet.call(other, "DELETE", job, "");
        if (cancelled.status() != 200) {
            return notRun("the cancelling is not acknowledged");
        }
        if (mTrouble) {
            Clock.sleep(700);
            mFleet.kill(owner);
            Clock.sleep(DOWN_MS - 1_000);
            mFleet.launch(agent);
            mFleet.launch(owner);
            if (!mFleet.awaitReady(List.of(owner), 20_000)) {
                return notRun("the entry does not come back");
            }
        }
        // From here on nothing is disturbed. After stable_window_ms all machines are in touch, and
        // cancel_ms + stop_grace_ms later the task has to be gone.
        Clock.sleep(STABLE_MS + CANCEL_MS + STOP_GRACE_MS + MARGIN_MS);
        boolean broken = false;
        for (int i = 0; i < 10; i++) {
            for (Worker one : mFleet.workers()) {
                if (!one.running().isEmpty()) {
                    mRecord.line(
                            "%s still runs %s of the cancelled job", one.id(), one.running());
                    broken = true;
                }
            }
            mFleet.call(other, "GET", job, "");
            Clock.sleep(1_000);
        }
        return broken ? BROKEN : HELD;
    }
}
