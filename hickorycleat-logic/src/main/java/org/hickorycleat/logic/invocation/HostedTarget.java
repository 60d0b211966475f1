package org.hickorycleat.logic.invocation;

import java.util.Optional;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.result.ResultCode;

/** The target of one service beside this agent: its queue and its mapping of keys. */
final class HostedTarget {
    private final SlotQueue mQueue;
    private final KeyValidity mKeyValidity;
    private volatile Placement mPlacement;
    private volatile boolean mLeaving;

    HostedTarget(TargetConfiguration configuration, KeyValidity keyValidity, long nowMs) {
        mQueue = new SlotQueue(configuration.slots(), configuration.connections());
        mKeyValidity = keyValidity;
        mPlacement =
                new Placement(
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

    synchronized SlotQueue.Change configure(TargetConfiguration configuration, long nowMs) {
        Placement old = mPlacement;
        boolean same = old.instance().equals(configuration.instance());
        mPlacement =
                new Placement(
                        configuration.instance(),
                        same ? old.sinceMs() : nowMs,
                        old.mapping()
                                .replacedBy(
                                        configuration.mappingVersion(),
                                        configuration.mappedInstances(),
                                        nowMs));
        return mQueue.configure(configuration.slots(), configuration.connections(), nowMs);
    }

    /** No earlier agent served this instance, so no record of a key can be missing. */
    synchronized void trustKeyMemory(InstanceNumber instance) {
        Placement old = mPlacement;
        if (old.instance().equals(instance)) {
            mPlacement = new Placement(instance, Long.MIN_VALUE / 2, old.mapping());
        }
    }

    void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Finds why the target may not start the request; does not apply to repeats of a key. */
    Optional<ResultCode> refusal(Invoke invoke, long nowMs) {
        if (mLeaving) {
            return Optional.of(ResultCode.TARGET_LEAVING);
        }
        Placement placement = mPlacement;
        if (!placement.instance().equals(invoke.instance())) {
            return Optional.of(ResultCode.NO_TARGET);
        }
        return invoke.idempotencyKey().flatMap(key -> keyRefusal(placement, key, nowMs));
    }

    /** Tells whether entry and agent map keys to instances by the same version. */
    boolean sameMapping(Invoke invoke) {
        return mPlacement.mapping().version().equals(invoke.mappingVersion());
    }

    private Optional<ResultCode> keyRefusal(Placement placement, IdempotencyKey key, long nowMs) {
        if (nowMs - placement.sinceMs() < mKeyValidity.uncertainty().toMillis()) {
            return Optional.of(ResultCode.KEY_MEMORY_UNCERTAIN);
        }
        return placement
                .mapping()
                .route(key, nowMs)
                .fold(
                        Optional::of,
                        instance ->
                                instance.equals(placement.instance())
                                        ? Optional.empty()
                                        : Optional.of(ResultCode.MAPPING_CHANGED));
    }

    /**
     * Place of the target in its service.
     *
     * @param sinceMs time since which this agent has served the instance number; an earlier record
     *     of a key may be at another agent
     */
    private record Placement(InstanceNumber instance, long sinceMs, KeyMapping mapping) {}
}
