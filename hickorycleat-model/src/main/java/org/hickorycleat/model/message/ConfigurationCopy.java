package org.hickorycleat.model.message;

/** The active configuration of an entry, as the operator wrote it, compressed with gzip. */
// Never compared, and copying each value would double the cost of a read.
@SuppressWarnings("ArrayRecordComponent")
public record ConfigurationCopy(byte[] compressedContent) implements Message {}
