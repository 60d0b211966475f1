package org.hickorycleat.model.message;

/** A request for a service that the sender has no agent for. */
public record Forward(Invoke invoke) implements Message {}
