package org.hickorycleat.logic.ownership;

import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.StreamName;
import org.hickorycleat.model.message.Message;

/** Action requested by a shard owner; the actions of one event are performed in order. */
public sealed interface OwnerAction {
    /** Appends a record; a failure is reported as {@link ShardEvent.AppendFailed}. */
    @SuppressWarnings("ArrayRecordComponent") // Not copied, because the array is never modified.
    record AppendRecord(StreamName stream, long token, byte[] payload) implements OwnerAction {}

    /** Sends a message to an agent; it may be lost with the connection. */
    record SendMessage(ProcessId agent, Message message) implements OwnerAction {}
}
