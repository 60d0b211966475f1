package org.hickorycleat.model.message;

/** The newest configuration that an entry has in force, as the operator wrote it. */
// Compared by nobody; copying each value would double the work of a read.
@SuppressWarnings("ArrayRecordComponent")
public record ConfigurationCopy(byte[] content) implements Message {}
