package org.hickorycleat.logic.admission;

/** Time constant shared by all averages, so that ratios of decayed counts are ratios of rates. */
final class Decay {
    /** Long against a service time, short against the start of a flood. */
    private static final double TIME_CONSTANT_MS = 1_000;

    private Decay() {}

    static double factor(long elapsedMs) {
        return Math.exp(-Math.max(0, elapsedMs) / TIME_CONSTANT_MS);
    }
}
