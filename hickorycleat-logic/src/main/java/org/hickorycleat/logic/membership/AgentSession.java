package org.hickorycleat.logic.membership;

import java.util.List;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * The latest session of an agent.
 *
 * @param zone its availability zone
 * @param incarnation its incarnation
 * @param session number of its connection
 * @param connected whether the connection is open
 * @param heardMs time at which it last connected, reported or disconnected
 * @param smallestOffsetMs smallest difference seen between the entry's clock and the agent's
 *     uptime; a report with a larger difference was delayed by the excess
 * @param targets targets of its latest report
 */
record AgentSession(
        ZoneId zone,
        Incarnation incarnation,
        SessionNumber session,
        boolean connected,
        long heardMs,
        long smallestOffsetMs,
        List<TargetAddress> targets) {
    static AgentSession opened(
            ZoneId zone, Incarnation incarnation, SessionNumber session, long nowMs) {
        return new AgentSession(zone, incarnation, session, true, nowMs, Long.MAX_VALUE, List.of());
    }

    AgentSession reported(long offsetMs, List<TargetAddress> reported, long nowMs) {
        return new AgentSession(
                zone,
                incarnation,
                session,
                true,
                nowMs,
                Math.min(smallestOffsetMs, offsetMs),
                reported);
    }

    AgentSession closed(long nowMs) {
        return new AgentSession(
                zone, incarnation, session, false, nowMs, smallestOffsetMs, List.of());
    }

    /** Tells whether a session with these numbers replaces this one. */
    boolean isOlderThan(Incarnation otherIncarnation, SessionNumber otherSession) {
        int order = incarnation.compareTo(otherIncarnation);
        return order < 0 || (order == 0 && session.compareTo(otherSession) < 0);
    }
}
