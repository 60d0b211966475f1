package org.hickorycleat.daemon.http;

import java.util.List;

/** Response to {@code GET /admin/status}; docs/interfaces.md describes the fields. */
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
    /** The active configuration. */
    public record Configuration(long version, String source, boolean complete) {}

    /** Availability of the log service to this process. */
    public record Log(boolean available, String error) {}

    /** Target and request counts of a service. */
    public record Service(
            String service, long ready, long leaving, long suspect, int inFlight, int queued) {}

    /** Owner and task counts of a placement shard. */
    public record Shard(
            long shard, String owner, long epoch, long tasksRunning, long tasksWaiting) {}

    /** A connection to another process. */
    public record Link(String process, String role, String zone) {}
}
