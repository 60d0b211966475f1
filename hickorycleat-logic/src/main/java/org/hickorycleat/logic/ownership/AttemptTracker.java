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

/** Tracks what the owner has observed of recorded attempts during its epoch. */
final class AttemptTracker {
    private final Map<TaskId, Observation> mObservations = new HashMap<>();
    private final LeaseExpiryTracker mLeaseExpiries;

    AttemptTracker(LeaseSettings settings) {
        mLeaseExpiries = new LeaseExpiryTracker(settings);
    }

    LeaseExpiryTracker leaseExpiries() {
        return mLeaseExpiries;
    }

    void clear() {
        mObservations.clear();
        mLeaseExpiries.clear();
    }

    void remove(TaskId task) {
        mObservations.remove(task);
        mLeaseExpiries.remove(task);
    }

    void recordConfirmation(TaskId task, AttemptNumber attempt) {
        Observation before = observation(task, attempt);
        mObservations.put(
                task, new Observation(attempt, true, before.endState(), before.checkpoint()));
    }

    /** Records a report; only the first reported end of an attempt counts. */
    void recordReport(TaskReport report, long wallMs) {
        Observation before = observation(report.task(), report.attempt());
        Optional<Checkpoint> checkpoint =
                report.checkpoint()
                        .map(name -> new Checkpoint(name, report.progressMs(), wallMs))
                        .or(before::checkpoint);
        Optional<TaskState> end =
                before.endState()
                        .or(() -> Optional.of(report.state()).filter(AttemptTracker::isTerminal));
        boolean confirmed = before.confirmed() || report.state() == TaskState.RUNNING;
        mObservations.put(
                report.task(), new Observation(report.attempt(), confirmed, end, checkpoint));
    }

    /** Returns the observations of an attempt, which are empty if it was never observed. */
    Observation observation(TaskId task, AttemptNumber attempt) {
        Observation observation = mObservations.get(task);
        return observation != null && observation.attempt().equals(attempt)
                ? observation
                : new Observation(attempt, false, Optional.empty(), Optional.empty());
    }

    static boolean isTerminal(TaskState state) {
        return switch (state) {
            case STARTING, RUNNING, STOPPING -> false;
            case STOPPED, SUCCEEDED, FAILED, EXPIRED, REFUSED -> true;
        };
    }

    /**
     * Observations of an attempt.
     *
     * @param attempt the attempt
     * @param confirmed whether the worker confirmed that the attempt runs
     * @param endState terminal state reported by the worker
     * @param checkpoint latest checkpoint reported
     */
    record Observation(
            AttemptNumber attempt,
            boolean confirmed,
            Optional<TaskState> endState,
            Optional<Checkpoint> checkpoint) {}
}
