import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** All servers, all runs on them and the jobs that clients have sent; shared by one lock. */
final class Servers {
    static final long STOP_GRACE_MS = 400;
    static final long GANG_TIMEOUT_MS = 3_000;
    static final long MAXIMUM_HOLD_MS = 10_000;
    static final long CHECKPOINT_MS = 1_000;

    final Record mRecord;
    final Map<String, Job> mJobs = new ConcurrentHashMap<>();
    final List<Server> mServers = new ArrayList<>();
    final List<Run> mRuns = new ArrayList<>();
    final List<String> mViolations = new ArrayList<>();
    /** Work of a gang since all members were present, in milliseconds. */
    private final Map<String, Long> mGangWork = new HashMap<>();
    final Map<String, Integer> mOwnFailures = new HashMap<>();

    Servers(Record record) {
        mRecord = record;
    }

    synchronized void violation(String rule, String text) {
        mViolations.add(rule + " " + text);
        mRecord.line("BROKEN " + rule + " " + text);
    }

    /** Lets work go on for some time; called often. */
    synchronized void tick(long elapsedMs) {
        long nowMs = mRecord.nowMs();
        Map<String, List<Run>> gangs = new HashMap<>();
        for (Server server : mServers) {
            server.expire(nowMs);
            for (Run run : server.running()) {
                if (run.mStep.mGang) {
                    gangs.computeIfAbsent(run.gang(), key -> new ArrayList<>()).add(run);
                }
            }
        }
        for (Server server : mServers) {
            for (Run run : server.running()) {
                if (nowMs >= run.mStopAtMs) {
                    server.end(run, "stopped", nowMs);
                } else if (!run.mStep.mGang) {
                    work(server, run, elapsedMs, nowMs);
                }
            }
        }
        gangs.forEach((name, members) -> workGang(name, members, elapsedMs, nowMs));
    }

    private void work(Server server, Run run, long elapsedMs, long nowMs) {
        if (server.isStalled()) {
            return;
        }
        run.mWorkedMs += elapsedMs;
        if (run.mStep.mPerpetual) {
            return;
        }
        if (run.mWorkedMs > run.mStep.mDurationMs / 2 && isToFail(run)) {
            mOwnFailures.merge(run.mTask, 1, Integer::sum);
            server.end(run, "failed", nowMs);
        } else if (run.mResumedMs + run.mWorkedMs >= run.mStep.mDurationMs) {
            server.end(run, "done", nowMs);
        }
    }

    private boolean isToFail(Run run) {
        return mOwnFailures.getOrDefault(run.mTask, 0) < run.mStep.mFailures;
    }

    private void workGang(String name, List<Run> members, long elapsedMs, long nowMs) {
        Run first = members.get(0);
        boolean complete = members.size() == first.mStep.mCount;
        if (!complete && !mGangWork.containsKey(name)) {
            for (Run run : members) {
                if (nowMs - run.mStartMs > GANG_TIMEOUT_MS) {
                    server(run).end(run, "alone", nowMs);
                }
            }
            return;
        }
        if (!complete) {
            for (Run run : members) {
                server(run).end(run, "broken", nowMs);
            }
            return;
        }
        long worked = mGangWork.merge(name, elapsedMs, Long::sum);
        long resumed = members.stream().mapToLong(run -> run.mResumedMs).min().orElse(0);
        members.forEach(run -> run.mWorkedMs = worked);
        if (worked > first.mStep.mDurationMs / 2 && isToFail(first)) {
            mOwnFailures.merge(first.mTask, 1, Integer::sum);
            server(first).end(first, "failed", nowMs);
        } else if (resumed + worked >= first.mStep.mDurationMs && !first.mStep.mPerpetual) {
            members.forEach(run -> server(run).end(run, "done", nowMs));
        }
    }

    Server server(Run run) {
        return mServers.stream().filter(s -> s.mName.equals(run.mServer)).findFirst().orElseThrow();
    }
}
