import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A job of a client, with what its attempts were answered. */
final class Job {
    /** A step; tasks fail in their first runs by their own fault as often as failures says. */
    static final class Step {
        int mCount = 1;
        int mCpu = 500;
        int mMemory = 256;
        int mDurationMs = 500;
        int mFailures;
        boolean mGang;
        boolean mPerpetual;
        boolean mSaves;
        int mCheckpointLength = 16;
        int mMaximumPerServer;
        final List<Integer> mAfter = new ArrayList<>();
    }

    final String mId;
    final String mPrefix;
    final String mSpec;
    final List<Step> mSteps = new ArrayList<>();
    int mRepeat;
    long mStartAtMs;
    long mIntervalMs;

    long mAcceptedMs = -1;
    int mAttempts;
    int mRejections;
    long mCancelSentMs = -1;
    long mCancelAckMs = -1;
    /** States by the time at which they were answered, in milliseconds. */
    final TreeMap<Long, String> mStates = new TreeMap<>();

    Job(String id, String prefix) {
        mId = id;
        mPrefix = prefix;
        mSpec = "spec-" + id;
    }

    int occurrences() {
        return Math.max(1, mRepeat);
    }

    boolean isPerpetual() {
        return mSteps.stream().anyMatch(step -> step.mPerpetual);
    }

    String body() {
        StringBuilder body = new StringBuilder("{\"task_spec\":" + Json.quote(mSpec));
        body.append(",\"steps\":[");
        for (int i = 0; i < mSteps.size(); i++) {
            Step step = mSteps.get(i);
            body.append(i == 0 ? "" : ",")
                    .append("{\"count\":" + step.mCount)
                    .append(",\"cpu\":" + step.mCpu)
                    .append(",\"mem_mb\":" + step.mMemory)
                    .append(",\"image\":\"img\"")
                    .append(",\"estimate_ms\":" + step.mDurationMs)
                    .append(step.mAfter.isEmpty() ? "" : ",\"after\":" + step.mAfter)
                    .append(step.mGang ? ",\"gang\":true" : "")
                    .append(step.mPerpetual ? ",\"perpetual\":true" : "")
                    .append(step.mSaves ? ",\"saves_progress\":true" : "")
                    .append(
                            step.mMaximumPerServer > 0
                                    ? ",\"max_per_server\":" + step.mMaximumPerServer
                                    : "")
                    .append('}');
        }
        body.append(']');
        if (mRepeat > 0) {
            body.append(",\"repeat_count\":" + mRepeat)
                    .append(",\"start_at_ms\":" + mStartAtMs)
                    .append(",\"interval_ms\":" + mIntervalMs);
        }
        return body.append('}').toString();
    }

    /** Adds a state that an entry answered. */
    synchronized void onState(long nowMs, String state) {
        if (mStates.isEmpty() || !mStates.lastEntry().getValue().equals(state)) {
            mStates.put(nowMs, state);
        }
    }

    synchronized Map<Long, String> states() {
        return new TreeMap<>(mStates);
    }

    synchronized String lastState() {
        return mStates.isEmpty() ? "none" : mStates.lastEntry().getValue();
    }
}
