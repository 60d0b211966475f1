package org.hickorycleat.logic.ownership;

import java.util.OptionalLong;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.WorkerSummary;

/** What the owner knows of an agent and the worker beside it. */
final class AgentSession {
    private final ProcessId mAgent;
    private ZoneId mZone;
    private WorkerSummary mWorker;
    private boolean mConnected = true;
    private boolean mFenced;
    private long mDisconnectedMs;
    private OptionalLong mRequestNumber = OptionalLong.empty();

    AgentSession(ProcessId agent, ZoneId zone, WorkerSummary worker) {
        mAgent = agent;
        mZone = zone;
        mWorker = worker;
    }

    void connected(ZoneId zone, WorkerSummary worker) {
        mZone = zone;
        mConnected = true;
        unfence();
        mWorker = worker;
    }

    void disconnected(long nowMs) {
        mConnected = false;
        mDisconnectedMs = nowMs;
        unfence();
    }

    /** A lease request made to an earlier incarnation of the worker must not be answered. */
    void reported(WorkerSummary worker) {
        int order = worker.incarnation().compareTo(mWorker.incarnation());
        if (order < 0) {
            return;
        }
        if (order > 0) {
            unfence();
        }
        mWorker = worker;
    }

    void unfence() {
        mFenced = false;
        mRequestNumber = OptionalLong.empty();
    }

    void fenced() {
        mFenced = true;
    }

    void requested(long number) {
        mRequestNumber = OptionalLong.of(number);
    }

    ProcessId agent() {
        return mAgent;
    }

    ZoneId zone() {
        return mZone;
    }

    WorkerSummary summary() {
        return mWorker;
    }

    WorkerId worker() {
        return mWorker.worker();
    }

    Incarnation incarnation() {
        return mWorker.incarnation();
    }

    OptionalLong requestNumber() {
        return mRequestNumber;
    }

    boolean isConnected() {
        return mConnected;
    }

    boolean isFenced() {
        return mConnected && mFenced;
    }

    boolean unreachableFor(long durationMs, long nowMs) {
        return !mConnected && nowMs - mDisconnectedMs >= durationMs;
    }

    /** Tells whether an attempt can be started now. */
    boolean available() {
        return isFenced() && mRequestNumber.isPresent();
    }

    boolean holds(AttemptRecord attempt) {
        return attempt.worker().equals(worker())
                && attempt.workerIncarnation().equals(incarnation());
    }
}
