package org.hickorycleat.daemon.link;

import java.util.List;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.message.EntryAddress;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.Welcome;

/** Handles the sessions and messages of the links of a process. */
public interface EntryLinkHandler {
    /** Returns a session number greater than all previous ones. */
    SessionNumber nextSessionNumber();

    /** Returns the first message of a session. */
    Hello hello(SessionNumber session);

    /** Fences older sessions with the entry; returns false if another link to it is connected. */
    boolean acceptWelcome(EntrySession session, Welcome welcome);

    /** Handles the opening of a session. */
    void onSessionOpened(EntrySession session);

    /** Handles a message that arrived in a session. */
    void onMessage(EntrySession session, Message message);

    /** Handles the loss of a session. */
    void onSessionClosed(EntrySession session);

    /** Handles the list of entries that an entry reported. */
    void onEntriesDiscovered(List<EntryAddress> entries);
}
