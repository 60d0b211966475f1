package org.hickorycleat.model.message;

/** Load of a target at the time when its agent sent a response; the latency is a moving average. */
public record LoadSignal(int inFlight, int queued, long latencyMicros) {}
