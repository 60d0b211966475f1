package org.hickorycleat.logic.ownership;

import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.StreamName;
import org.hickorycleat.model.message.Message;

/** Something that an owner wants done, in order. */
public sealed interface OwnerAction {
    /** Appends a record; a failure is answered with {@link ShardEvent.AppendFailed}. */
    @SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
    record AppendRecord(StreamName stream, long token, byte[] payload) implements OwnerAction {}

    /** Sends a message to an agent; it may be lost with the connection. */
    record SendMessage(ProcessId agent, Message message) implements OwnerAction {}
}
