package org.hickorycleat.logic.ownership;

import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.WorkerSummary;

/** Something that an owner, or a process ready to become one, learns. */
public sealed interface ShardEvent {
    /**
     * A page was read from {@link ShardOwner#nextOffset()}.
     *
     * @param page the page
     * @param limit limit of the read; fewer records mean that the end of the log was reached
     * @param requestedMs when the read was sent, by the scheduler; the page is at least that recent
     */
    record LogRead(LogPage page, int limit, long requestedMs) implements ShardEvent {}

    /** A read failed. */
    record LogReadFailed() implements ShardEvent {}

    /** The offset read from is no longer kept. */
    record LogTruncated(long firstOffset) implements ShardEvent {}

    /** An append failed or got no answer; it may have taken effect. */
    record AppendFailed(long token) implements ShardEvent {}

    /** An agent connected and named its worker. */
    record AgentConnected(ProcessId agent, ZoneId zone, WorkerSummary worker)
            implements ShardEvent {}

    /** The connection to an agent was lost. */
    record AgentDisconnected(ProcessId agent) implements ShardEvent {}

    /** A connected agent reported its worker, in the order of its messages. */
    record WorkerReported(ProcessId agent, WorkerSummary worker) implements ShardEvent {}

    /** An agent sent a Fence as acknowledgement, a TaskReport or a LeaseRequest. */
    record MessageReceived(ProcessId agent, Message message) implements ShardEvent {}

    /** A manifest was accepted. */
    record ManifestChanged(ShardManifest manifest) implements ShardEvent {}

    /** The process is about to exit: it makes no claim, renewal or decision any more. */
    record Draining() implements ShardEvent {}

    /** Time passed; expected at least every 50 ms. */
    record Tick() implements ShardEvent {}
}
