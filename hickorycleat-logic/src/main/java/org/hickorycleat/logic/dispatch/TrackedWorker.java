package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.task.Resources;

/** A worker as its agent reports it, and what may be on it. */
final class TrackedWorker {
    /** Processors that a serving task uses of those it asks for; the rest is left to others. */
    private static final double SERVING_USE = 0.55;

    /** Time between two messages with the weights of images, in milliseconds. */
    private static final long WEIGHTS_INTERVAL_MS = 1_000;

    private final ProcessId mAgent;
    private final WorkerHealth mHealth = new WorkerHealth();
    private final Map<RunId, TrackedRun> mRuns = new LinkedHashMap<>();
    private Optional<WorkerDescription> mDescription = Optional.empty();
    private Optional<WorkerIncarnation> mLife = Optional.empty();
    private boolean mConnected;
    private boolean mReachable;
    private boolean mObeys;
    private long mSession;
    private long mLastOrder;
    private long mProcessedEnds;
    private long mAcknowledgedEnds;
    private long mLeaseCertainlyOverAtMs;
    private long mWeightsSentAtMs = Long.MIN_VALUE / 2;
    private int mFillPercent = 100;
    private long mReportedAtMs = Long.MIN_VALUE / 2;
    private Optional<Map<String, Double>> mServingLoads = Optional.empty();
    private Resources mReserved = Resources.NONE;

    TrackedWorker(ProcessId agent, long leaseCertainlyOverAtMs) {
        mAgent = agent;
        mLeaseCertainlyOverAtMs = leaseCertainlyOverAtMs;
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

    Optional<WorkerIncarnation> life() {
        return mLife;
    }

    long session() {
        return mSession;
    }

    int fillPercent() {
        return mFillPercent;
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

    /** The agent opened a session. */
    void onSession(long session) {
        mConnected = true;
        mSession = session;
        mLastOrder = 0;
    }

    /** The link to the agent is gone. */
    void onDisconnected() {
        mConnected = false;
        mReachable = false;
    }

    /** Takes the state of the worker; the lists are handled elsewhere. */
    void onReport(WorkerReport report, long nowMs) {
        mReportedAtMs = nowMs;
        mServingLoads = Optional.empty();
        mDescription = report.description();
        mReachable = report.reachable();
        mFillPercent = report.bestEffortPercent();
        if (report.incarnation().isPresent() && !report.incarnation().equals(mLife)) {
            mLife = report.incarnation();
            mProcessedEnds = 0;
            mAcknowledgedEnds = 0;
            mHealth.reset();
        }
    }

    /** Tells whether starts may be ordered. */
    boolean isAvailable() {
        return mConnected
                && mReachable
                && mLife.isPresent()
                && mDescription.isPresent()
                && mDescription.get().incarnation().equals(mLife.get())
                && !mDescription.get().draining();
    }

    boolean isDraining() {
        return mDescription.isPresent() && mDescription.get().draining();
    }

    long nextOrder() {
        return ++mLastOrder;
    }

    void add(TrackedRun run) {
        mRuns.put(run.id(), run);
        onRunsChanged();
    }

    void remove(TrackedRun run) {
        mRuns.remove(run.id());
        onRunsChanged();
    }

    private void onRunsChanged() {
        long processors = 0;
        long memory = 0;
        long accelerators = 0;
        for (TrackedRun run : mRuns.values()) {
            Resources taken = run.task().specification().reservation();
            processors += taken.processorsMilli();
            memory += taken.memoryMebibytes();
            accelerators += taken.accelerators();
        }
        mReserved = new Resources(processors, memory, accelerators);
        mServingLoads = Optional.empty();
    }

    /** Returns the loads of the serving images; computed anew after a report or another run. */
    Map<String, Double> servingLoads(Supplier<Map<String, Double>> source) {
        if (mServingLoads.isEmpty()) {
            mServingLoads = Optional.of(source.get());
        }
        return mServingLoads.get();
    }

    Optional<TrackedRun> run(RunId id) {
        return Optional.ofNullable(mRuns.get(id));
    }

    /** Tells whether an end is new, and remembers it. */
    boolean isNewEnd(long number) {
        if (number <= mProcessedEnds) {
            return false;
        }
        mProcessedEnds = number;
        return true;
    }

    long processedEnds() {
        return mProcessedEnds;
    }

    long acknowledgedEnds() {
        return mAcknowledgedEnds;
    }

    /** Ends up to a number of a life are durable. */
    void onEndsDurable(Optional<WorkerIncarnation> life, long number) {
        if (life.equals(mLife)) {
            mAcknowledgedEnds = Math.max(mAcknowledgedEnds, number);
        }
    }

    /** The lease was extended. */
    void onLeaseExtended(long certainlyOverAtMs) {
        mLeaseCertainlyOverAtMs = Math.max(mLeaseCertainlyOverAtMs, certainlyOverAtMs);
    }

    /** The agent obeys this owner: what a former one extended ends by the given time. */
    void onObeyed(long certainlyOverAtMs) {
        if (!mObeys) {
            mObeys = true;
            mLeaseCertainlyOverAtMs = certainlyOverAtMs;
        }
    }

    boolean isLeaseCertainlyOver(long nowMs) {
        return nowMs > mLeaseCertainlyOverAtMs;
    }

    Resources capacity() {
        return mDescription.map(WorkerDescription::capacity).orElse(Resources.NONE);
    }

    boolean hasLabel(String label) {
        return mDescription.isPresent() && mDescription.get().labels().contains(label);
    }

    /** Tells whether the agent should be told the weights of images again. */
    boolean areWeightsDue(long nowMs) {
        if (nowMs - mWeightsSentAtMs < WEIGHTS_INTERVAL_MS) {
            return false;
        }
        mWeightsSentAtMs = nowMs;
        return true;
    }

    /** Tells whether the reservation fits beside what may be on the worker. */
    boolean hasRoomFor(Resources reservation) {
        Resources capacity = capacity();
        return mReserved.processorsMilli() + reservation.processorsMilli()
                        <= capacity.processorsMilli()
                && mReserved.memoryMebibytes() + reservation.memoryMebibytes()
                        <= capacity.memoryMebibytes()
                && mReserved.accelerators() + reservation.accelerators() <= capacity.accelerators();
    }

    /** Returns the unreserved processors, in thousandths. */
    long freeProcessorsMilli() {
        return capacity().processorsMilli() - mReserved.processorsMilli();
    }

    /** Returns the processors that are left to further tasks that fill, in thousandths. */
    long idleProcessorsMilli() {
        double idle = capacity().processorsMilli();
        for (TrackedRun run : mRuns.values()) {
            long requested = run.task().specification().resources().processorsMilli();
            boolean serves = run.task().specification().targetLatencyMs() > 0;
            idle -= serves ? requested * SERVING_USE : requested;
        }
        return (long) idle;
    }
}
