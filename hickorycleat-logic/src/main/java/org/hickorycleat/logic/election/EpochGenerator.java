package org.hickorycleat.logic.election;

import java.util.Objects;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.message.FleetNode;

/**
 * Generates epochs for ownership claims: higher than the highest known one, and different for each
 * process.
 *
 * <p>The store would treat two claims with the same epoch as duplicates of one append and confirm
 * the ownership to both processes.
 */
public final class EpochGenerator {
    /** Number of low bits that identify the process; the higher bits count the claims. */
    private static final int PROCESS_BITS = 24;

    private static final long PROCESS_MASK = (1L << PROCESS_BITS) - 1;

    /** Highest valid epoch; the number of claims that it stands for cannot be reached. */
    private static final long MAXIMUM_EPOCH = Long.MAX_VALUE >> 1;

    private EpochGenerator() {}

    /** Returns whether a claim can have this epoch; a higher one would rule out any later claim. */
    public static boolean isValid(Epoch epoch) {
        return epoch.value() >= 0 && epoch.value() <= MAXIMUM_EPOCH;
    }

    /** Returns an epoch that is higher than a known one and that no other process generates. */
    public static Epoch next(Epoch known, FleetNode self) {
        long claims = Math.max(0, known.value()) >> PROCESS_BITS;
        long process = Objects.hash(self.process(), self.startedAtMs()) * 0x9E3779B97F4A7C15L;
        return new Epoch(((claims + 1) << PROCESS_BITS) | ((process >>> 32) & PROCESS_MASK));
    }
}
