package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.RequestId;

/** Asks an agent not to run a request, or for its result. */
public record Cancel(RequestId request) implements Message {}
