package org.hickorycleat.daemon.http;

import java.util.List;

/** Answer of {@code GET /admin/status}; docs/interfaces.md describes the fields. */
public record ProcessStatus(
        String process,
        String role,
        String zone,
        long incarnation,
        long uptimeMs,
        String state,
        String reason,
        Configuration configuration,
        Log log,
        int inFlight,
        List<Service> services,
        List<Shard> shards,
        List<Link> links) {
    /** Configuration in force. */
    public record Configuration(long version, String source, boolean complete) {}

    /** Reading of the log service. */
    public record Log(boolean available, String error) {}

    /** Targets of a service. */
    public record Service(
            String service, long ready, long leaving, long suspect, int inFlight, int queued) {}

    /** A placement shard. */
    public record Shard(
            long shard, String owner, long epoch, long tasksRunning, long tasksWaiting) {}

    /** A connection to another process. */
    public record Link(String process, String role, String zone) {}
}
