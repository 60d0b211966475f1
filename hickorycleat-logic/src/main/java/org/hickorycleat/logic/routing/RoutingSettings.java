package org.hickorycleat.logic.routing;

/**
 * Settings of {@link PowerOfTwoSelector}.
 *
 * @param zoneCostMicros latency added to the score of targets in other availability zones
 * @param slowStartMs time in which a target that came up receives less than its share
 * @param ejectionBaseMs length of the first ejection; each further one is twice as long
 * @param ejectionMaximumMs longest ejection
 * @param maximumEjectedPercent share of the ready targets that may be ejected
 * @param probes successful probe requests required to return from an ejection
 * @param stallMinimumMs shortest time without answers after which a target counts as paused
 * @param stallMaximumMs longest such time, unless answers usually take longer
 */
public record RoutingSettings(
        long zoneCostMicros,
        long slowStartMs,
        long ejectionBaseMs,
        long ejectionMaximumMs,
        int maximumEjectedPercent,
        int probes,
        long stallMinimumMs,
        long stallMaximumMs) {
    /** Settings used unless others are configured. */
    public static final RoutingSettings DEFAULT =
            new RoutingSettings(5_000, 10_000, 1_000, 60_000, 30, 3, 250, 1_000);
}
