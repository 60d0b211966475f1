package review;

/**
 * A large job whose tasks write checkpoints of 48 characters. A small job that is handed in later
 * has to be done.
 */
final class LargeProgress extends Case {
    private static final int CPU = 40;
    private static final int COUNT = 3_000;
    private static final int WORK_MS = 12_000;
    private static final int SMALL_CPU = 40;
    private static final int SMALL_WORK_MS = 300;
    private static final int FINISH_MS = 14_000;
    private static final int CHECKPOINT_LENGTH = 48;
    private static final int IDLE_MS = 3_000;
    private static final int OBSERVE_MS = 10_000;
    private static final int SAMPLE_MS = 20;

    private volatile String mSmallJob = "none";
    private volatile boolean mSmallJobDone;

    private void onNote(String note) {
        if (note.startsWith("end " + mSmallJob + ".") && note.endsWith(" done")) {
            mSmallJobDone = true;
        }
    }

    private boolean isSmallJobDone() {
        return mSmallJobDone;
    }

    @Override
    int run() throws Exception {
        mFleet.start(4, 11, task -> CPU, this::onNote);
        if (mTrouble) {
            mFleet.workers().forEach(one -> one.setCheckpointLength(CHECKPOINT_LENGTH));
        }
        Clock.sleep(4_000);
        String large = newJob();
        String body = job(spec(WORK_MS, 0), COUNT, CPU, WORK_MS, ",\"saves_progress\":true");
        if (!mFleet.submit(large, body)) {
            return notRun("the large job is not accepted");
        }
        Clock.sleep(WORK_MS + 4_000);
        String small = newJob();
        mSmallJob = small;
        if (!mFleet.submit(small, job(spec(SMALL_WORK_MS, 0), 1, SMALL_CPU, SMALL_WORK_MS, ""))) {
            return notRun("the small job is not accepted");
        }
        // End of the traffic.
        Clock.sleep(FINISH_MS);
        boolean idle =
                new IdleWatch(mFleet, mRecord, small, 2 * SMALL_CPU, this::isSmallJobDone)
                        .isIdleFor(IDLE_MS, OBSERVE_MS, SAMPLE_MS);
        mFleet.call(mFleet.entries().get(1), "GET", small, "");
        mFleet.call(mFleet.entries().get(1), "GET", large, "");
        mRecord.line(
                "processors in use: %d of %d thousandths", mFleet.usedCpu(), mFleet.totalCpu());
        return idle ? BROKEN : HELD;
    }
}
