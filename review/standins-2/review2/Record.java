package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Writes what is sent, answered and run to record.txt, and remembers what the checks need. */
final class Record {
    private final PrintWriter mOut;
    private final long mStartMs = Fleet.nowMs();
    private final Map<String, Integer> mStarts = new HashMap<>();
    private final Set<String> mDone = new HashSet<>();
    private final Set<String> mAcknowledgedDone = new HashSet<>();
    private final Map<String, Set<String>> mRunning = new HashMap<>();
    private int mTwice;

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void note(String text) {
        mOut.printf("%8.3f %s%n", (Fleet.nowMs() - mStartMs) / 1000.0, text);
    }

    synchronized void onStart(String task, int run, String worker, boolean listed) {
        mStarts.merge(task, 1, Integer::sum);
        if (listed) {
            note("run    start " + task + " run " + run + " on " + worker);
        }
        Set<String> running = mRunning.computeIfAbsent(task, key -> new HashSet<>());
        if (!running.isEmpty()) {
            mTwice++;
            note("TWICE broken: " + task + " run " + run + " on " + worker + " beside " + running);
        } else if (mAcknowledgedDone.contains(task)) {
            mTwice++;
            note("TWICE broken: " + task + " run " + run + " starts after its acknowledged end");
        }
        running.add(run + "@" + worker);
    }

    synchronized void onEnd(String task, int run, String worker, String how) {
        if (how.equals("done")) {
            mDone.add(task);
        }
        mRunning.getOrDefault(task, new HashSet<>()).remove(run + "@" + worker);
        if (mStarts.size() < 2_000) {
            note("run    end " + task + " run " + run + " on " + worker + " " + how);
        }
    }

    synchronized void onAcknowledged(String task, int run, String how) {
        if (how.equals("done")) {
            mAcknowledgedDone.add(task);
        }
    }

    /** Returns how many starts broke the rule TWICE. */
    synchronized int twice() {
        return mTwice;
    }

    synchronized int starts() {
        return mStarts.size();
    }

    synchronized boolean isDone(String task) {
        return mDone.contains(task);
    }

    synchronized boolean hasStarted(String task) {
        return mStarts.containsKey(task);
    }
}
