package org.hickorycleat.model.message;

/** Load of a target when an answer left its agent; latency is a moving average. */
public record LoadSignal(int inFlight, int queued, long latencyMicros) {}
