package org.hickorycleat.logic.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.logic.lease.LeaseExpiryTracker;
import org.hickorycleat.logic.lease.LeaseSettings;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.message.TaskReport;
import org.hickorycleat.model.task.TaskState;

/** What the owner has observed of recorded attempts in its epoch. */
final class AttemptTracker {
    private final Map<TaskId, Observation> mObservations = new HashMap<>();
    private final LeaseExpiryTracker mLedger;

    AttemptTracker(LeaseSettings settings) {
        mLedger = new LeaseExpiryTracker(settings);
    }

    LeaseExpiryTracker ledger() {
        return mLedger;
    }

    void clear() {
        mObservations.clear();
        mLedger.clear();
    }

    void forget(TaskId task) {
        mObservations.remove(task);
        mLedger.remove(task);
    }

    void confirmed(TaskId task, AttemptNumber attempt) {
        Observation before = observation(task, attempt);
        mObservations.put(task, new Observation(attempt, true, before.end(), before.checkpoint()));
    }

    /** Records a report; the first reported end of an attempt stands. */
    void reported(TaskReport report, long wallMs) {
        Observation before = observation(report.task(), report.attempt());
        Optional<Checkpoint> checkpoint =
                report.checkpoint()
                        .map(name -> new Checkpoint(name, report.progressMs(), wallMs))
                        .or(before::checkpoint);
        Optional<TaskState> end =
                before.end().or(() -> Optional.of(report.state()).filter(AttemptTracker::isEnd));
        boolean confirmed = before.confirmed() || report.state() == TaskState.RUNNING;
        mObservations.put(
                report.task(), new Observation(report.attempt(), confirmed, end, checkpoint));
    }

    /** Returns what is known of an attempt; nothing if it was never observed. */
    Observation observation(TaskId task, AttemptNumber attempt) {
        Observation observation = mObservations.get(task);
        return observation != null && observation.attempt().equals(attempt)
                ? observation
                : new Observation(attempt, false, Optional.empty(), Optional.empty());
    }

    static boolean isEnd(TaskState state) {
        return switch (state) {
            case STARTING, RUNNING, STOPPING -> false;
            case STOPPED, SUCCEEDED, FAILED, EXPIRED, REFUSED -> true;
        };
    }

    /**
     * Observation of an attempt.
     *
     * @param attempt the attempt
     * @param confirmed whether the worker confirmed that it runs
     * @param end how the worker says that it ended
     * @param checkpoint latest checkpoint reported
     */
    record Observation(
            AttemptNumber attempt,
            boolean confirmed,
            Optional<TaskState> end,
            Optional<Checkpoint> checkpoint) {}
}
