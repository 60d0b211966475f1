package org.hickorycleat.logic.ownership;

import java.util.OptionalLong;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.WorkerSummary;

/** State that the owner keeps about an agent and its local worker. */
final class AgentSession {
    private final ProcessId mAgent;
    private ZoneId mZone;
    private WorkerSummary mSummary;
    private boolean mConnected = true;
    private boolean mFenced;
    private long mDisconnectedMs;
    private OptionalLong mLeaseRequestNumber = OptionalLong.empty();

    AgentSession(ProcessId agent, ZoneId zone, WorkerSummary worker) {
        mAgent = agent;
        mZone = zone;
        mSummary = worker;
    }

    void onConnected(ZoneId zone, WorkerSummary worker) {
        mZone = zone;
        mConnected = true;
        clearFence();
        mSummary = worker;
    }

    void onDisconnected(long nowMs) {
        mConnected = false;
        mDisconnectedMs = nowMs;
        clearFence();
    }

    /**
     * Updates the worker's summary. A new incarnation clears the fence and the lease request,
     * because a request for an earlier incarnation must not be granted.
     */
    void onWorkerReported(WorkerSummary worker) {
        int order = worker.incarnation().compareTo(mSummary.incarnation());
        if (order < 0) {
            return;
        }
        if (order > 0) {
            clearFence();
        }
        mSummary = worker;
    }

    void clearFence() {
        mFenced = false;
        mLeaseRequestNumber = OptionalLong.empty();
    }

    void onFenceAcknowledged() {
        mFenced = true;
    }

    void onLeaseRequested(long number) {
        mLeaseRequestNumber = OptionalLong.of(number);
    }

    ProcessId agent() {
        return mAgent;
    }

    ZoneId zone() {
        return mZone;
    }

    WorkerSummary summary() {
        return mSummary;
    }

    WorkerId worker() {
        return mSummary.worker();
    }

    Incarnation incarnation() {
        return mSummary.incarnation();
    }

    OptionalLong leaseRequestNumber() {
        return mLeaseRequestNumber;
    }

    boolean isConnected() {
        return mConnected;
    }

    boolean isFenced() {
        return mConnected && mFenced;
    }

    boolean isDisconnectedFor(long durationMs, long nowMs) {
        return !mConnected && nowMs - mDisconnectedMs >= durationMs;
    }

    /** Returns whether an attempt can be started now. */
    boolean isReadyForStart() {
        return isFenced() && mLeaseRequestNumber.isPresent();
    }

    boolean hosts(AttemptRecord attempt) {
        return attempt.worker().equals(worker())
                && attempt.workerIncarnation().equals(incarnation());
    }
}
