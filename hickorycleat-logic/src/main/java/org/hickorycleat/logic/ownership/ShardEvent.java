package org.hickorycleat.logic.ownership;

import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.WorkerSummary;

/** Input of a shard owner, or of a process that may become the owner. */
public sealed interface ShardEvent {
    /**
     * A page was read from {@link ShardOwner#nextOffset()}.
     *
     * @param page the page
     * @param limit limit of the read; fewer records mean that the end of the log was reached
     * @param requestedMs scheduler time at which the read was sent; the page is at least that
     *     recent
     */
    record LogRead(LogPage page, int limit, long requestedMs) implements ShardEvent {}

    /** A read failed. */
    record LogReadFailed() implements ShardEvent {}

    /** The requested offset is older than the retention of the log. */
    record LogTruncated(long firstOffset) implements ShardEvent {}

    /** An append failed or received no response; it may have been committed. */
    record AppendFailed(long token) implements ShardEvent {}

    /** An agent connected and announced its worker. */
    record AgentConnected(ProcessId agent, ZoneId zone, WorkerSummary worker)
            implements ShardEvent {}

    /** The connection to an agent was lost. */
    record AgentDisconnected(ProcessId agent) implements ShardEvent {}

    /** A connected agent reported the state of its worker; delivered in order with its messages. */
    record WorkerReported(ProcessId agent, WorkerSummary worker) implements ShardEvent {}

    /** An agent sent a Fence as acknowledgement, a TaskReport or a LeaseRequest. */
    record MessageReceived(ProcessId agent, Message message) implements ShardEvent {}

    /** A manifest was accepted. */
    record ManifestChanged(ShardManifest manifest) implements ShardEvent {}

    /** The process is about to exit and makes no further claims, renewals or decisions. */
    record Draining() implements ShardEvent {}

    /** Periodic tick; expected at least every 50 ms. */
    record Tick() implements ShardEvent {}
}
