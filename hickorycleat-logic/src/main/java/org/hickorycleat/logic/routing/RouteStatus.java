package org.hickorycleat.logic.routing;

/** Measured state of a target for the state dump. */
public record RouteStatus(
        TargetAddress target,
        int inFlight,
        long latencyMicros,
        double errorRate,
        EjectionReason ejection,
        long ejectedUntilMs) {}
