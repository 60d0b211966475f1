package org.hickorycleat.logic.election;

import java.util.Objects;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.message.FleetNode;

/**
 * Chooses the epochs of claims: above every known one, and different for each process.
 *
 * <p>Two claims with one epoch would look to the store like one append that is repeated, and both
 * processes would be told that they own the jobs.
 */
public final class EpochGenerator {
    /** Bits that tell processes apart; the bits above count the claims. */
    private static final int PROCESS_BITS = 24;

    private static final long PROCESS_MASK = (1L << PROCESS_BITS) - 1;

    private EpochGenerator() {}

    /** Returns an epoch above a known one that no other process chooses. */
    public static Epoch next(Epoch known, FleetNode self) {
        long claims = Math.max(0, known.value()) >> PROCESS_BITS;
        long process = Objects.hash(self.process(), self.startedAtMs()) * 0x9E3779B97F4A7C15L;
        return new Epoch(((claims + 1) << PROCESS_BITS) | ((process >>> 32) & PROCESS_MASK));
    }
}
