package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;

/**
 * Tells an agent which entry owns the jobs; opens a session.
 *
 * @param session number of the session; orders and reports of earlier ones no longer count
 */
public record OwnerAnnouncement(ProcessId owner, Epoch epoch, long session) implements Message {}
