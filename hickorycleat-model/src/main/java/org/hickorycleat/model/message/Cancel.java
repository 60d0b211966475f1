package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.RequestId;

/** Asks an agent to cancel a request, or to return its result if it has run. */
public record Cancel(RequestId request) implements Message {}
