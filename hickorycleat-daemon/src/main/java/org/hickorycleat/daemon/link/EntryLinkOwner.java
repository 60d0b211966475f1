package org.hickorycleat.daemon.link;

import java.util.List;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.message.EntryAddress;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.Welcome;

/** What a link needs from the process. */
public interface EntryLinkOwner {
    /** Returns a number above all that were returned before. */
    SessionNumber nextSession();

    /** Returns the first message of a session. */
    Hello hello(SessionNumber session);

    /** Fences older sessions with the entry; false when the process has another link to it. */
    boolean onWelcome(EntrySession session, Welcome welcome);

    /** The session is open. */
    void onOpened(EntrySession session);

    /** A message arrived. */
    void onMessage(EntrySession session, Message message);

    /** The session is lost. */
    void onClosed(EntrySession session);

    /** Entries that another entry knows. */
    void onEntriesKnown(List<EntryAddress> entries);
}
