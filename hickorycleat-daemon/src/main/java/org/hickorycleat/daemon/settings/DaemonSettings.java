package org.hickorycleat.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.logging.Level;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * Checked settings of a daemon; exactly one of entry and agent is present.
 *
 * @param process name of the process
 * @param zone its availability zone
 * @param adminListen address of its admin HTTP, and at an agent of the announcements of targets
 * @param drainLimit how long a drain waits for requests in progress
 * @param logLevel level of its logs
 * @param entry settings of the entry role
 * @param agent settings of the agent role
 */
public record DaemonSettings(
        ProcessId process,
        ZoneId zone,
        InetSocketAddress adminListen,
        Duration drainLimit,
        Level logLevel,
        Optional<EntrySettings> entry,
        Optional<AgentSettings> agent) {}
