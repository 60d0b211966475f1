package org.hickorycleat.model.message;

/** Forwards a request to another entry because the sender has no agent for its service. */
public record Forward(Invoke invoke) implements Message {}
