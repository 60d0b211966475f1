package org.hickorycleat.model.message;

/** The active configuration of an entry, as the operator wrote it. */
// Never compared, and copying each value would double the cost of a read.
@SuppressWarnings("ArrayRecordComponent")
public record ConfigurationCopy(byte[] content) implements Message {}
