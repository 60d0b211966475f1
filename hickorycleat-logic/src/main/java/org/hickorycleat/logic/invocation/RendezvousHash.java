package org.hickorycleat.logic.invocation;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Maps an idempotency key to an instance of its service by rendezvous hashing.
 *
 * <p>The instance with the highest score serves the key. The score is the SplitMix64 finalizer of
 * the 64-bit FNV-1a hash of the UTF-8 bytes of service, a zero byte and key, XOR the SplitMix64
 * finalizer of the instance number. Every entry and agent must compute the same value, so a change
 * of this function is a change of the protocol.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the instance of a key; empty if the service has no instances. */
    public static Optional<InstanceNumber> choose(
            ServiceName service, IdempotencyKey key, Collection<InstanceNumber> instances) {
        long keyHash = fnv1a(service.value() + '\0' + key.value());
        return instances.stream()
                .max(
                        (left, right) -> {
                            int byScore =
                                    Long.compareUnsigned(
                                            score(keyHash, left), score(keyHash, right));
                            return byScore != 0 ? byScore : left.compareTo(right);
                        });
    }

    private static long score(long keyHash, InstanceNumber instance) {
        return mix(keyHash ^ mix(instance.value()));
    }

    private static long fnv1a(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
