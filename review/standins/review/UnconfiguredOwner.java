package review;

/**
 * All entries are killed at once, and the partition with the operator's records is down while they
 * start again. A task fails once meanwhile; its job may fail only after four failed runs.
 */
final class UnconfiguredOwner extends Case {
    private static final int CPU = 500;
    private static final int RUN_MS = 4_000;
    private static final int DOWN_MS = 4_500;
    private static final int BACK_AFTER_MS = 1_000;
    private static final int SETTLE_MS = 20_000;

    private int mFailedEnds;

    private synchronized void onNote(String note) {
        if (note.startsWith("end ") && note.endsWith(" failed")) {
            mFailedEnds++;
        }
    }

    @Override
    int run() throws Exception {
        mFleet.start(4, 11, task -> CPU, this::onNote);
        Clock.sleep(4_000);
        String job = newJob();
        if (!mFleet.submit(job, job(spec(RUN_MS, 1), 1, CPU, RUN_MS, ""))) {
            return notRun("the job is not accepted");
        }
        Clock.sleep(RUN_MS - 1_000);
        if (!mFleet.isRunning(job)) {
            return notRun("the task does not run");
        }
        if (mTrouble) {
            for (String entry : mFleet.entries()) {
                mFleet.kill(entry);
            }
            Clock.sleep(BACK_AFTER_MS);
            mFleet.store().setBusyTopic("keyed.op");
            for (String entry : mFleet.entries()) {
                mFleet.launch(entry);
            }
            Clock.sleep(DOWN_MS);
            mFleet.store().setBusyTopic("");
        }
        if (!mFleet.awaitReady(mFleet.entries(), 20_000)) {
            return notRun("the entries do not come back");
        }
        long untilMs = Clock.nowMs() + SETTLE_MS;
        while (Clock.nowMs() < untilMs) {
            String state = mFleet.call(mFleet.entries().get(0), "GET", job, "").body();
            if (state.contains("failed")) {
                synchronized (this) {
                    mRecord.line("the job is shown as failed after %d failed runs", mFailedEnds);
                    return mFailedEnds < 4 ? BROKEN : HELD;
                }
            }
            if (state.contains("completed")) {
                return HELD;
            }
            Clock.sleep(500);
        }
        return notRun("the job is neither completed nor failed");
    }
}
