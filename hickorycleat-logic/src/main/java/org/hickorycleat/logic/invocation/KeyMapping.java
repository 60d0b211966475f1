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
 * Mapping of the keys of one service to instances, with the mappings that it replaced recently.
 *
 * <p>A key whose instance changed is refused for a window after the change: its record is at the
 * instance that served it before.
 */
public final class KeyMapping {
    private final ServiceName mService;
    private final ConfigurationVersion mVersion;
    private final List<InstanceNumber> mInstances;
    private final List<Replaced> mReplaced;
    private final long mWindowMs;

    private KeyMapping(
            ServiceName service,
            ConfigurationVersion version,
            List<InstanceNumber> instances,
            List<Replaced> replaced,
            long windowMs) {
        mService = service;
        mVersion = version;
        mInstances = List.copyOf(instances);
        mReplaced = List.copyOf(replaced);
        mWindowMs = windowMs;
    }

    /** Creates the mapping that a process knows first. */
    public static KeyMapping initial(
            ServiceName service,
            ConfigurationVersion version,
            List<InstanceNumber> instances,
            KeyValidity keyValidity) {
        long windowMs = keyValidity.mappingWindow().toMillis();
        return new KeyMapping(service, version, instances, List.of(), windowMs);
    }

    /** Returns the mapping after a change; the same instances change nothing. */
    public KeyMapping replacedBy(
            ConfigurationVersion version, List<InstanceNumber> instances, long nowMs) {
        if (instances.equals(mInstances)) {
            return this;
        }
        if (mInstances.isEmpty()) {
            // No key was mapped, so no record of one can be elsewhere.
            return new KeyMapping(mService, version, instances, mReplaced, mWindowMs);
        }
        List<Replaced> replaced =
                Stream.concat(
                                mReplaced.stream().filter(old -> inWindow(old, nowMs)),
                                Stream.of(new Replaced(mInstances, nowMs)))
                        .toList();
        return new KeyMapping(mService, version, instances, replaced, mWindowMs);
    }

    /** Returns the version of the mapping. */
    public ConfigurationVersion version() {
        return mVersion;
    }

    /** Finds the instance of a key, or the reason why the key cannot be used now. */
    public Either<ResultCode, InstanceNumber> route(IdempotencyKey key, long nowMs) {
        Optional<InstanceNumber> current = RendezvousHash.choose(mService, key, mInstances);
        if (current.isEmpty()) {
            return Either.left(ResultCode.NO_TARGET);
        }
        boolean moved =
                mReplaced.stream()
                        .filter(old -> inWindow(old, nowMs))
                        .map(old -> RendezvousHash.choose(mService, key, old.instances()))
                        .anyMatch(instance -> !instance.equals(current));
        return moved ? Either.left(ResultCode.MAPPING_CHANGED) : Either.right(current.get());
    }

    private boolean inWindow(Replaced old, long nowMs) {
        return nowMs - old.replacedMs() < mWindowMs;
    }

    private record Replaced(List<InstanceNumber> instances, long replacedMs) {}
}
