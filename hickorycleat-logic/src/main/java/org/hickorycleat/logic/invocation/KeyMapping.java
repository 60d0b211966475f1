package org.hickorycleat.logic.invocation;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.result.ResultCode;

/**
 * Mapping of the idempotency keys of one service to instances, with recently replaced mappings.
 *
 * <p>A key whose instance changed is rejected for some time after the change, because its record is
 * at its previous instance.
 */
public final class KeyMapping {
    private final ServiceName mService;
    private final ConfigurationVersion mVersion;
    private final List<InstanceNumber> mInstances;
    private final List<ReplacedMapping> mReplaced;
    private final long mRejectionWindowMs;

    private KeyMapping(
            ServiceName service,
            ConfigurationVersion version,
            List<InstanceNumber> instances,
            List<ReplacedMapping> replaced,
            long windowMs) {
        mService = service;
        mVersion = version;
        mInstances = List.copyOf(instances);
        mReplaced = List.copyOf(replaced);
        mRejectionWindowMs = windowMs;
    }

    /** Creates the first mapping that a process receives. */
    public static KeyMapping initial(
            ServiceName service,
            ConfigurationVersion version,
            List<InstanceNumber> instances,
            KeyValidity keyValidity) {
        long windowMs = keyValidity.mappingChangeWindow().toMillis();
        return new KeyMapping(service, version, instances, List.of(), windowMs);
    }

    /** Returns the mapping after a change; returns this mapping if the instances are the same. */
    public KeyMapping replacedBy(
            ConfigurationVersion version, List<InstanceNumber> instances, long nowMs) {
        if (instances.equals(mInstances)) {
            return this;
        }
        if (mInstances.isEmpty()) {
            // No key was mapped before, so no other instance can have a record.
            return new KeyMapping(mService, version, instances, mReplaced, mRejectionWindowMs);
        }
        List<ReplacedMapping> replaced =
                Stream.concat(
                                mReplaced.stream().filter(old -> isInRejectionWindow(old, nowMs)),
                                Stream.of(new ReplacedMapping(mInstances, nowMs)))
                        .toList();
        return new KeyMapping(mService, version, instances, replaced, mRejectionWindowMs);
    }

    /** Returns the version of the mapping. */
    public ConfigurationVersion version() {
        return mVersion;
    }

    /** Returns the instance of a key, or the reason why the key cannot be used now. */
    public Either<ResultCode, InstanceNumber> route(IdempotencyKey key, long nowMs) {
        Optional<InstanceNumber> current = RendezvousHash.choose(mService, key, mInstances);
        if (current.isEmpty()) {
            return Either.left(ResultCode.NO_TARGET);
        }
        boolean moved =
                mReplaced.stream()
                        .filter(old -> isInRejectionWindow(old, nowMs))
                        .map(old -> RendezvousHash.choose(mService, key, old.instances()))
                        .anyMatch(instance -> !instance.equals(current));
        return moved ? Either.left(ResultCode.MAPPING_CHANGED) : Either.right(current.get());
    }

    private boolean isInRejectionWindow(ReplacedMapping old, long nowMs) {
        return nowMs - old.replacedMs() < mRejectionWindowMs;
    }

    private record ReplacedMapping(List<InstanceNumber> instances, long replacedMs) {}
}
