import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks the rules on what servers and clients have seen. */
final class Checker {
    private static final long CANCEL_MS = 3_000;

    private final Servers mServers;
    private final int mMaximumAttempts;
    private final long mStartedUnixMs;

    Checker(Servers servers, int maximumAttempts) {
        mServers = servers;
        mMaximumAttempts = maximumAttempts;
        mStartedUnixMs = System.currentTimeMillis() - servers.mRecord.nowMs();
    }

    private Map<String, List<Run>> byTask() {
        Map<String, List<Run>> byTask = new TreeMap<>();
        for (Run run : mServers.mRuns) {
            byTask.computeIfAbsent(run.mTask, key -> new ArrayList<>()).add(run);
        }
        return byTask;
    }

    /** Checks the rules on the runs of each task. */
    void checkRuns() {
        synchronized (mServers) {
            byTask().values().forEach(this::checkTask);
        }
    }

    /** Checks the rules on the runs of each task and on the states of all jobs. */
    void check() {
        checkRuns();
        synchronized (mServers) {
            Map<String, List<Run>> byTask = byTask();
            for (Job job : mServers.mJobs.values()) {
                checkJob(job, byTask);
            }
        }
    }

    private static boolean isNoted(Run run) {
        return run.mAcknowledgedMs >= 0 && !run.mLapsedBeforeAck;
    }

    private void checkTask(List<Run> runs) {
        for (Run later : runs) {
            long failed = 0;
            for (Run earlier : runs) {
                if (earlier == later || earlier.mStartMs > later.mStartMs) {
                    continue;
                }
                long endMs = earlier.mEndMs < 0 ? Long.MAX_VALUE : earlier.mEndMs;
                if (endMs > later.mStartMs) {
                    mServers.violation("TWICE", "at the same time: " + earlier + " / " + later);
                } else if (earlier.mHow.equals("done") && isNoted(earlier)) {
                    mServers.violation("TWICE", "again after done: " + earlier + " / " + later);
                }
                failed += earlier.mHow.equals("failed") && isNoted(earlier) ? 1 : 0;
            }
            if (failed >= mMaximumAttempts && !later.mStep.mPerpetual) {
                mServers.violation("BUDGET", "after " + failed + " failed runs: " + later);
            }
            checkOrder(later);
        }
    }

    private void checkOrder(Run run) {
        String[] parts = run.mTask.split("\\.");
        for (int before : run.mStep.mAfter) {
            Job.Step step = run.mJob.mSteps.get(before);
            for (int i = 0; i < step.mCount; i++) {
                String task = parts[0] + "." + parts[1] + "." + before + "." + i;
                if (!isDoneBy(task, step.mGang, run.mStartMs)) {
                    mServers.violation("ORDER", run + " before the end of " + task);
                }
            }
        }
        if (run.mJob.mRepeat > 0) {
            long dueMs =
                    run.mJob.mStartAtMs + Long.parseLong(parts[1]) * run.mJob.mIntervalMs;
            if (mStartedUnixMs + run.mStartMs < dueMs - 250) {
                mServers.violation("ORDER", run + " before its time");
            }
        }
    }

    private boolean isDoneBy(String task, boolean gang, long nowMs) {
        String step = task.substring(0, task.lastIndexOf('.'));
        return mServers.mRuns.stream()
                .anyMatch(
                        run ->
                                (gang ? run.step().equals(step) : run.mTask.equals(task))
                                        && run.mHow.equals("done")
                                        && run.mEndMs <= nowMs);
    }

    private List<String> tasks(Job job) {
        List<String> tasks = new ArrayList<>();
        for (int k = 0; k < job.occurrences(); k++) {
            for (int s = 0; s < job.mSteps.size(); s++) {
                for (int i = 0; i < job.mSteps.get(s).mCount; i++) {
                    tasks.add(job.mId + "." + k + "." + s + "." + i);
                }
            }
        }
        return tasks;
    }

    private boolean isGang(Job job, String task) {
        return job.mSteps.get(Integer.parseInt(task.split("\\.")[2])).mGang;
    }

    private void checkJob(Job job, Map<String, List<Run>> byTask) {
        List<Run> runs =
                mServers.mRuns.stream().filter(run -> run.mJob == job).toList();
        if (job.mAttempts > 0 && job.mAttempts == job.mRejections && !runs.isEmpty()) {
            mServers.violation("REFUSED", job.mId + " was always rejected and ran");
        }
        if (job.mCancelAckMs >= 0) {
            for (Run run : runs) {
                if (run.mStartMs > job.mCancelAckMs + CANCEL_MS) {
                    mServers.violation("UNASKED", "started after the cancel: " + run);
                }
                long endMs = run.mEndMs < 0 ? Long.MAX_VALUE : run.mEndMs;
                if (endMs > job.mCancelAckMs + CANCEL_MS + 2 * Servers.STOP_GRACE_MS) {
                    mServers.violation("UNASKED", "runs on after the cancel: " + run);
                }
            }
        }
        for (Map.Entry<Long, String> state : job.states().entrySet()) {
            if (state.getValue().equals("completed")) {
                for (String task : tasks(job)) {
                    if (!isDoneBy(task, isGang(job, task), state.getKey())) {
                        mServers.violation("MIXED", job.mId + " completed, but not " + task);
                    }
                }
            }
        }
        if (job.mAcceptedMs < 0 || job.mCancelSentMs >= 0) {
            return;
        }
        String last = job.lastState();
        if (last.equals("cancelled") || (last.equals("failed") && !mayHaveFailed(job, byTask))) {
            mServers.violation("LOST", job.mId + " is shown as " + last + " without cause");
        }
        if (job.isPerpetual()) {
            for (String task : tasks(job)) {
                boolean runsNow =
                        byTask.getOrDefault(task, List.of()).stream().anyMatch(r -> r.mEndMs < 0);
                if (!runsNow) {
                    mServers.violation("LOST", task + " is to last and doesn't run at the end");
                }
            }
        } else if (!last.equals("completed") && !last.equals("failed")) {
            mServers.violation("LOST", job.mId + " is " + last + " at the end");
        }
    }

    private boolean mayHaveFailed(Job job, Map<String, List<Run>> byTask) {
        for (String task : tasks(job)) {
            String step = task.substring(0, task.lastIndexOf('.'));
            boolean gang = isGang(job, task);
            long failed =
                    mServers.mRuns.stream()
                            .filter(r -> gang ? r.step().equals(step) : r.mTask.equals(task))
                            .filter(r -> r.mHow.equals("failed"))
                            .map(r -> r.mNumber)
                            .distinct()
                            .count();
            if (failed >= mMaximumAttempts) {
                return true;
            }
        }
        return false;
    }
}
