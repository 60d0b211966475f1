package org.hickorycleat.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.logging.Level;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * Validated settings of a daemon; exactly one of {@code entry} and {@code agent} is present.
 *
 * @param process name of the process
 * @param zone availability zone of the process
 * @param adminListen address to listen on for admin HTTP and, for an agent, target announcements
 * @param drainLimit maximum time that a drain waits for requests in progress
 * @param logLevel minimum level of log messages
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
