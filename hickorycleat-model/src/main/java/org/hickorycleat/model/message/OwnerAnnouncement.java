package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;

/**
 * Announces to an agent which entry owns the jobs and opens a session.
 *
 * @param session number of the session; commands and reports of earlier sessions are ignored
 */
public record OwnerAnnouncement(ProcessId owner, Epoch epoch, long session) implements Message {}
