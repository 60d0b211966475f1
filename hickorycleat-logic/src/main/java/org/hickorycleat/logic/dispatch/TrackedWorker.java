package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.hickorycleat.logic.evacuation.WarmUp;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.task.Resources;

/** Tracks a worker as its agent reports it, and the runs that may be on it. */
final class TrackedWorker {
    /**
     * Share of its requested processors that a latency-critical task uses, in percent; the rest is
     * idle.
     */
    private static final long LATENCY_CRITICAL_USE_PERCENT = 55;

    private static final long FULL_PERCENT = 100;

    /** Time between two messages with interference weights to the agent, in milliseconds. */
    private static final long WEIGHTS_INTERVAL_MS = 1_000;

    /**
     * Minimum time between two lease extensions, in milliseconds; below the interval of the reports
     * of a worker without ends.
     */
    private static final long LEASE_EXTENSION_INTERVAL_MS = 300;

    private final ProcessId mAgent;
    private final WorkerHealth mHealth = new WorkerHealth();
    private final WarmUp mWarmUp = new WarmUp();
    private final Map<RunId, TrackedRun> mRuns = new LinkedHashMap<>();
    private Optional<WorkerDescription> mDescription = Optional.empty();
    private Optional<WorkerIncarnation> mIncarnation = Optional.empty();
    private boolean mConnected;
    private boolean mReachable;
    private boolean mOwnerAdopted;
    private boolean mEvacuated;
    private long mSession;
    private long mLastCommandNumber;
    private long mReportNumber;
    private long mLastEndNumber;
    private long mAcknowledgedEndNumber;
    private long mLeaseExpiredByMs;
    private long mWeightsSentAtMs = Long.MIN_VALUE / 2;
    private int mBestEffortPercent = 100;
    private long mReportedAtMs = Long.MIN_VALUE / 2;
    private long mLeaseExtensionSentAtMs = Long.MIN_VALUE / 2;
    private Optional<Map<String, Double>> mLatencyCriticalLoads = Optional.empty();
    private long mReservedProcessorsMilli;
    private long mReservedMemoryMebibytes;
    private long mReservedAccelerators;
    // In thousandths of a processor times percent, so that sums are exact.
    private long mProcessorUse;
    private long mLatencyCriticalUse;
    private int mFiniteRuns;
    private int mLatencyCriticalRuns;
    private final Map<String, Integer> mLatencyCriticalRunsByImage = new HashMap<>();

    TrackedWorker(ProcessId agent, long leaseExpiredByMs) {
        mAgent = agent;
        mLeaseExpiredByMs = leaseExpiredByMs;
    }

    ProcessId agent() {
        return mAgent;
    }

    WorkerHealth health() {
        return mHealth;
    }

    Optional<WorkerDescription> description() {
        return mDescription;
    }

    Optional<WorkerIncarnation> incarnation() {
        return mIncarnation;
    }

    long session() {
        return mSession;
    }

    int bestEffortPercent() {
        return mBestEffortPercent;
    }

    List<TrackedRun> runs() {
        return new ArrayList<>(mRuns.values());
    }

    boolean isConnected() {
        return mConnected;
    }

    long reportedAtMs() {
        return mReportedAtMs;
    }

    /** Handles a new session of the agent. */
    void onSessionOpened(long session) {
        mConnected = true;
        mSession = session;
        mLastCommandNumber = 0;
        mReportNumber = 0;
        mLeaseExtensionSentAtMs = Long.MIN_VALUE / 2;
        // The agent may have restarted and lost its weights.
        mWeightsSentAtMs = Long.MIN_VALUE / 2;
    }

    /** Handles the loss of the link to the agent. */
    void onDisconnected() {
        mConnected = false;
        mReachable = false;
    }

    /** Returns whether a report is of the current session and later than all others of it. */
    boolean isNewest(WorkerReport report) {
        return report.session() == mSession && report.number() > mReportNumber;
    }

    /** Updates the worker from a report; the dispatcher handles the lists of runs in it. */
    void onReport(WorkerReport report, long nowMs) {
        mReportedAtMs = nowMs;
        mReportNumber = report.number();
        mLatencyCriticalLoads = Optional.empty();
        mDescription = report.description();
        mReachable = report.reachable();
        mBestEffortPercent = report.bestEffortPercent();
        if (report.incarnation().isPresent() && !report.incarnation().equals(mIncarnation)) {
            mIncarnation = report.incarnation();
            mLeaseExtensionSentAtMs = Long.MIN_VALUE / 2;
            mLastEndNumber = 0;
            mAcknowledgedEndNumber = 0;
            mHealth.reset();
            mWarmUp.reset();
        }
        mDescription.ifPresent(
                known -> mWarmUp.onDescribed(known.sequence(), known.coldRemainingMs(), nowMs));
    }

    /** Returns whether tasks may be placed on the worker: it is available and not evacuated. */
    boolean mayTakeWork() {
        return !mEvacuated && isAvailable();
    }

    boolean isEvacuated() {
        return mEvacuated;
    }

    void setEvacuated(boolean evacuated) {
        mEvacuated = evacuated;
    }

    /** Returns whether a task fits into the share of a worker that is still cold. */
    boolean isWarmEnoughFor(StepSpecification step, long nowMs) {
        return mWarmUp.mayTake(
                mProcessorUse / FULL_PERCENT,
                step.resources().processorsMilli(),
                capacity().processorsMilli(),
                nowMs);
    }

    /** Returns the share of its processors for which the worker gets work now, up to 1. */
    double warmShare(long nowMs) {
        return mWarmUp.share(nowMs);
    }

    /** Returns whether the worker is connected, responds, and is not draining. */
    boolean isAvailable() {
        return mConnected
                && mReachable
                && mIncarnation.isPresent()
                && mDescription.isPresent()
                && mDescription.get().incarnation().equals(mIncarnation.get())
                && !mDescription.get().draining();
    }

    boolean isDraining() {
        return mDescription.isPresent() && mDescription.get().draining();
    }

    long nextCommandNumber() {
        return ++mLastCommandNumber;
    }

    void add(TrackedRun run) {
        TrackedRun replaced = mRuns.put(run.id(), run);
        if (replaced != null) {
            account(replaced.task().specification(), -1);
        }
        account(run.task().specification(), 1);
    }

    void remove(TrackedRun run) {
        TrackedRun removed = mRuns.remove(run.id());
        if (removed != null) {
            account(removed.task().specification(), -1);
        }
    }

    private void account(StepSpecification step, int runs) {
        Resources reservation = step.reservation();
        mReservedProcessorsMilli += runs * reservation.processorsMilli();
        mReservedMemoryMebibytes += runs * reservation.memoryMebibytes();
        mReservedAccelerators += runs * reservation.accelerators();
        mFiniteRuns += step.longRunning() ? 0 : runs;
        long requestedMilli = step.resources().processorsMilli();
        if (step.targetLatencyMs() > 0) {
            mProcessorUse += runs * requestedMilli * LATENCY_CRITICAL_USE_PERCENT;
            mLatencyCriticalUse += runs * requestedMilli * LATENCY_CRITICAL_USE_PERCENT;
            mLatencyCriticalRuns += runs;
            mLatencyCriticalRunsByImage.merge(step.image(), runs, Integer::sum);
        } else {
            mProcessorUse += runs * requestedMilli * FULL_PERCENT;
        }
        mLatencyCriticalLoads = Optional.empty();
    }

    boolean hasRuns() {
        return !mRuns.isEmpty();
    }

    /** Returns the number of runs that are not long-running. */
    int finiteRuns() {
        return mFiniteRuns;
    }

    /**
     * Returns the number of latency-critical runs of an image, less the number of those of other
     * images.
     */
    int imageBalance(String image) {
        return 2 * mLatencyCriticalRunsByImage.getOrDefault(image, 0) - mLatencyCriticalRuns;
    }

    /**
     * Returns the loads of the latency-critical images; cached until the next report or change of
     * the runs.
     */
    Map<String, Double> latencyCriticalLoads(Supplier<Map<String, Double>> source) {
        if (mLatencyCriticalLoads.isEmpty()) {
            mLatencyCriticalLoads = Optional.of(source.get());
        }
        return mLatencyCriticalLoads.get();
    }

    Optional<TrackedRun> run(RunId id) {
        return Optional.ofNullable(mRuns.get(id));
    }

    /** Records an end and returns whether it is new. */
    boolean recordEndIfNew(long number) {
        if (number <= mLastEndNumber) {
            return false;
        }
        mLastEndNumber = number;
        return true;
    }

    long lastEndNumber() {
        return mLastEndNumber;
    }

    long acknowledgedEndNumber() {
        return mAcknowledgedEndNumber;
    }

    /** Records that all ends of an incarnation up to a number are durable. */
    void onEndsDurable(Optional<WorkerIncarnation> incarnation, long number) {
        if (incarnation.equals(mIncarnation)) {
            mAcknowledgedEndNumber = Math.max(mAcknowledgedEndNumber, number);
        }
    }

    /** Records an extension of the lease. */
    void onLeaseExtended(long leaseExpiredByMs) {
        mLeaseExpiredByMs = Math.max(mLeaseExpiredByMs, leaseExpiredByMs);
    }

    /**
     * Records that the agent has adopted this owner: leases extended by a previous owner expire by
     * the given time.
     */
    void onOwnerAdopted(long leaseExpiredByMs) {
        if (!mOwnerAdopted) {
            mOwnerAdopted = true;
            mLeaseExpiredByMs = leaseExpiredByMs;
        }
    }

    /** Returns whether the agent is not connected or has not adopted this owner yet. */
    boolean isUnheard() {
        return !mConnected || !mOwnerAdopted;
    }

    boolean isLeaseCertainlyExpired(long nowMs) {
        return nowMs > mLeaseExpiredByMs;
    }

    Resources capacity() {
        return mDescription.map(WorkerDescription::capacity).orElse(Resources.NONE);
    }

    List<String> labels() {
        return mDescription.map(WorkerDescription::labels).orElse(List.of());
    }

    Optional<String> rack() {
        return mDescription.flatMap(WorkerDescription::rack);
    }

    boolean hasLabel(String label) {
        return mDescription.isPresent() && mDescription.get().labels().contains(label);
    }

    /** Returns whether a lease extension is due, and starts the next interval if so. */
    boolean isLeaseExtensionDue(long nowMs) {
        if (nowMs - mLeaseExtensionSentAtMs < LEASE_EXTENSION_INTERVAL_MS) {
            return false;
        }
        mLeaseExtensionSentAtMs = nowMs;
        return true;
    }

    /**
     * Returns whether interference weights are due for the agent, and starts the next interval if
     * so.
     */
    boolean areWeightsDue(long nowMs) {
        if (nowMs - mWeightsSentAtMs < WEIGHTS_INTERVAL_MS) {
            return false;
        }
        mWeightsSentAtMs = nowMs;
        return true;
    }

    /** Returns whether the reservation fits into the unreserved resources of the worker. */
    boolean hasFreeResources(Resources reservation) {
        Resources capacity = capacity();
        return mReservedProcessorsMilli + reservation.processorsMilli()
                        <= capacity.processorsMilli()
                && mReservedMemoryMebibytes + reservation.memoryMebibytes()
                        <= capacity.memoryMebibytes()
                && mReservedAccelerators + reservation.accelerators() <= capacity.accelerators();
    }

    /** Returns the unreserved processors, in thousandths. */
    long freeProcessorsMilli() {
        return capacity().processorsMilli() - mReservedProcessorsMilli;
    }

    /** Returns the processors that latency-critical tasks leave to others, in thousandths. */
    long finiteCapacityMilli() {
        return (capacity().processorsMilli() * FULL_PERCENT - mLatencyCriticalUse) / FULL_PERCENT;
    }

    /** Returns the processors that further best-effort tasks can use, in thousandths. */
    long idleProcessorsMilli() {
        return (capacity().processorsMilli() * FULL_PERCENT - mProcessorUse) / FULL_PERCENT;
    }
}
