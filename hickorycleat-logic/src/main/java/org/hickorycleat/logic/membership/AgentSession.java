package org.hickorycleat.logic.membership;

import java.util.List;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * The latest session of an agent.
 *
 * @param zone availability zone of the agent
 * @param incarnation incarnation of the agent
 * @param session number of the connection
 * @param connected whether the connection is open
 * @param lastContactMs time in milliseconds at which it last connected, reported or disconnected
 * @param minimumOffsetMs minimum difference in milliseconds between the entry's clock and the
 *     agent's uptime; a report with a larger difference was delayed by the excess
 * @param targets targets of its latest report
 */
record AgentSession(
        ZoneId zone,
        Incarnation incarnation,
        SessionNumber session,
        boolean connected,
        long lastContactMs,
        long minimumOffsetMs,
        List<TargetAddress> targets) {
    static AgentSession opened(
            ZoneId zone, Incarnation incarnation, SessionNumber session, long nowMs) {
        return new AgentSession(zone, incarnation, session, true, nowMs, Long.MAX_VALUE, List.of());
    }

    AgentSession withReport(long offsetMs, List<TargetAddress> reported, long nowMs) {
        return new AgentSession(
                zone,
                incarnation,
                session,
                true,
                nowMs,
                Math.min(minimumOffsetMs, offsetMs),
                reported);
    }

    AgentSession disconnected(long nowMs) {
        return new AgentSession(
                zone, incarnation, session, false, nowMs, minimumOffsetMs, List.of());
    }

    /** Returns whether a session with these numbers replaces this one. */
    boolean isOlderThan(Incarnation otherIncarnation, SessionNumber otherSession) {
        int order = incarnation.compareTo(otherIncarnation);
        return order < 0 || (order == 0 && session.compareTo(otherSession) < 0);
    }
}
