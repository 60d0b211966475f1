package org.hickorycleat.logic.log;

import org.hickorycleat.logic.port.LogPage;

/** Event emitted by a {@link StreamFollower}. */
public sealed interface StreamEvent {
    /** Records in order, at least one. */
    record RecordsRead(LogPage page) implements StreamEvent {}

    /** Records before the offset were truncated unread; reading continues at the offset. */
    record Truncated(long firstOffset) implements StreamEvent {}

    /** The end of the stream was reached for the first time; emitted once. */
    record CaughtUp(long nextOffset) implements StreamEvent {}
}
