package org.hickorycleat.logic.invocation;

import java.util.Optional;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.result.ResultCode;

/** The local target of one service: its queue and its mapping of idempotency keys. */
final class HostedTarget {
    private final SlotQueue mQueue;
    private final KeyValidity mKeyValidity;
    private volatile InstanceAssignment mAssignment;
    private volatile boolean mLeaving;

    HostedTarget(TargetConfiguration configuration, KeyValidity keyValidity, long nowMs) {
        mQueue = new SlotQueue(configuration.slots(), configuration.connections());
        mKeyValidity = keyValidity;
        mAssignment =
                new InstanceAssignment(
                        configuration.instance(),
                        nowMs,
                        KeyMapping.initial(
                                configuration.service(),
                                configuration.mappingVersion(),
                                configuration.mappedInstances(),
                                keyValidity));
    }

    SlotQueue queue() {
        return mQueue;
    }

    synchronized SlotQueue.QueueUpdate configure(TargetConfiguration configuration, long nowMs) {
        InstanceAssignment old = mAssignment;
        boolean sameInstance = old.instance().equals(configuration.instance());
        mAssignment =
                new InstanceAssignment(
                        configuration.instance(),
                        sameInstance ? old.assignedMs() : nowMs,
                        old.mapping()
                                .replacedBy(
                                        configuration.mappingVersion(),
                                        configuration.mappedInstances(),
                                        nowMs));
        return mQueue.configure(configuration.slots(), configuration.connections(), nowMs);
    }

    /** Accepts keys at once; no earlier agent has served the instance, so no record is missing. */
    synchronized void markKeyRecordsComplete(InstanceNumber instance) {
        InstanceAssignment old = mAssignment;
        if (old.instance().equals(instance)) {
            mAssignment = new InstanceAssignment(instance, Long.MIN_VALUE / 2, old.mapping());
        }
    }

    void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Returns why the target must not start the request; does not apply to copies of a key. */
    Optional<ResultCode> rejection(Invoke invoke, long nowMs) {
        if (mLeaving) {
            return Optional.of(ResultCode.TARGET_LEAVING);
        }
        InstanceAssignment assignment = mAssignment;
        if (!assignment.instance().equals(invoke.instance())) {
            return Optional.of(ResultCode.NO_TARGET);
        }
        return invoke.idempotencyKey().flatMap(key -> keyRejection(assignment, key, nowMs));
    }

    /** Returns whether entry and agent map keys to instances with the same version. */
    boolean hasSameMapping(Invoke invoke) {
        return mAssignment.mapping().version().equals(invoke.mappingVersion());
    }

    private Optional<ResultCode> keyRejection(
            InstanceAssignment assignment, IdempotencyKey key, long nowMs) {
        if (nowMs - assignment.assignedMs() < mKeyValidity.missingRecordWindow().toMillis()) {
            return Optional.of(ResultCode.KEY_MEMORY_UNCERTAIN);
        }
        return assignment
                .mapping()
                .route(key, nowMs)
                .fold(
                        Optional::of,
                        instance ->
                                instance.equals(assignment.instance())
                                        ? Optional.empty()
                                        : Optional.of(ResultCode.MAPPING_CHANGED));
    }

    /**
     * Assignment of the target to an instance of its service.
     *
     * @param assignedMs time from which this agent has served the instance; records of earlier keys
     *     may be at another agent
     */
    private record InstanceAssignment(
            InstanceNumber instance, long assignedMs, KeyMapping mapping) {}
}
