package org.hickorycleat.logic.retry;

import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.SessionNumber;

/** One connection to one incarnation of an agent. */
public record LinkSession(ProcessId agent, Incarnation incarnation, SessionNumber session) {
    /** Returns whether this connection was opened after another one to the same agent. */
    public boolean isNewerThan(LinkSession other) {
        int byIncarnation = incarnation.compareTo(other.incarnation);
        return byIncarnation != 0 ? byIncarnation > 0 : session.compareTo(other.session) > 0;
    }
}
