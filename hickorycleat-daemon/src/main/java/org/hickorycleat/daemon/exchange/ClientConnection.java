package org.hickorycleat.daemon.exchange;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/** A connection of a client, and when its peer last sent something; used on the event loop only. */
final class ClientConnection {
    private final Channel mChannel;
    private final long mOpenedNanos = System.nanoTime();
    private long mReceivedNanos = mOpenedNanos;
    private int mResponses;

    ClientConnection(Channel channel) {
        mChannel = channel;
    }

    Channel channel() {
        return mChannel;
    }

    /** Notes that a part of a response has arrived. */
    void onReceived() {
        mReceivedNanos = System.nanoTime();
    }

    /** Notes that a response is complete. */
    void onResponse() {
        mResponses++;
    }

    /** Returns the number of complete responses. */
    int responses() {
        return mResponses;
    }

    /** Returns the time since the connection was opened, in milliseconds. */
    long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mOpenedNanos);
    }

    /** Returns the time since the last byte of the peer, in milliseconds. */
    long silentMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mReceivedNanos);
    }

    /** Returns whether the peer has sent something since a time of {@link System#nanoTime()}. */
    boolean hasReceivedSince(long nanos) {
        return mReceivedNanos - nanos >= 0;
    }
}
