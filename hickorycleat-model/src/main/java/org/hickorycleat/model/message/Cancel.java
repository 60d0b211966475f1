package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.RequestId;

/** Requests the cancellation of a request, or its result if it has run. */
public record Cancel(RequestId request) implements Message {}
