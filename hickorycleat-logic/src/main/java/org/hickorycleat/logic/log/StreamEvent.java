package org.hickorycleat.logic.log;

import org.hickorycleat.logic.port.LogPage;

/** What a follower of a stream reads. */
public sealed interface StreamEvent {
    /** Records in order, at least one. */
    record RecordsRead(LogPage page) implements StreamEvent {}

    /** Records before the offset were dropped unread; reading goes on from there. */
    record Truncated(long firstOffset) implements StreamEvent {}

    /** Everything that was in the stream has been read; sent once, after the first catching up. */
    record CaughtUp(long nextOffset) implements StreamEvent {}
}
