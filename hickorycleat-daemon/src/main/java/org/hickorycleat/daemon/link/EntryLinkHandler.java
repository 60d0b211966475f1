package org.hickorycleat.daemon.link;

import java.util.List;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.message.EntryAddress;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.Welcome;

/** What a link needs from the process. */
public interface EntryLinkHandler {
    /** Returns a number above all that were returned before. */
    SessionNumber nextSessionNumber();

    /** Returns the first message of a session. */
    Hello hello(SessionNumber session);

    /** Fences older sessions with the entry; false when the process has another link to it. */
    boolean acceptWelcome(EntrySession session, Welcome welcome);

    /** The session is open. */
    void onSessionOpened(EntrySession session);

    /** A message arrived. */
    void onMessage(EntrySession session, Message message);

    /** The session is lost. */
    void onSessionClosed(EntrySession session);

    /** Entries that another entry knows. */
    void onEntriesDiscovered(List<EntryAddress> entries);
}
