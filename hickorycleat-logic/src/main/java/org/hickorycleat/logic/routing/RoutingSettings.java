package org.hickorycleat.logic.routing;

/**
 * Settings of {@link PowerOfTwoSelector}.
 *
 * @param zoneCostMicros latency in microseconds added to the score of targets in other availability
 *     zones
 * @param slowStartMs time in milliseconds after its start or return in which a target receives less
 *     than its share
 * @param ejectionBaseMs duration of the first ejection in milliseconds; each further one lasts
 *     twice as long
 * @param ejectionMaximumMs longest ejection in milliseconds
 * @param maximumEjectedPercent percentage of the ready targets that may be ejected
 * @param probes successful probe requests required to end an ejection
 * @param stallMinimumMs minimum time in milliseconds without responses after which a target counts
 *     as paused
 * @param stallMaximumMs upper bound of that time in milliseconds, unless responses usually take
 *     longer
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
    /** Default settings. */
    public static final RoutingSettings DEFAULT =
            new RoutingSettings(5_000, 10_000, 1_000, 60_000, 30, 3, 250, 1_000);
}
