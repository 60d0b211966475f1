package org.hickorycleat.logic.election;

import java.util.function.LongSupplier;

/**
 * Measures how long ago a remote party is known to have processed a request, by the time at which
 * the request was sent.
 *
 * <p>The steady clock of a suspended VM stands still, while its time of day goes on. The longer of
 * the two ages counts, so that a permission also expires during a pause. A response that waited in
 * a buffer proves nothing about the time after its request.
 */
public final class ContactAge {
    /** Age before the first contact, in milliseconds; far above all timeouts. */
    private static final long NEVER_AGE_MS = 3_600_000;

    private final LongSupplier mSteadyClockMs;
    private final LongSupplier mWallClockMs;
    private Instant mContact;

    /** A moment on both clocks, in milliseconds. */
    public record Instant(long steadyMs, long wallMs) {}

    /** Creates the age of a party that was never contacted. */
    public ContactAge(LongSupplier steadyClockMs, LongSupplier wallClockMs) {
        mSteadyClockMs = steadyClockMs;
        mWallClockMs = wallClockMs;
        Instant now = now();
        mContact = new Instant(now.steadyMs() - NEVER_AGE_MS, now.wallMs() - NEVER_AGE_MS);
    }

    /** Returns the current moment, at which a request is about to be sent. */
    public Instant now() {
        return new Instant(mSteadyClockMs.getAsLong(), mWallClockMs.getAsLong());
    }

    /** Records the response to a request that was sent at the given moment. */
    public synchronized void onResponse(Instant sentAt) {
        if (sentAt.steadyMs() > mContact.steadyMs()) {
            mContact = sentAt;
        }
    }

    /** Returns the time since the last proven contact, in milliseconds. */
    public synchronized long ageMs() {
        Instant now = now();
        return Math.max(now.steadyMs() - mContact.steadyMs(), now.wallMs() - mContact.wallMs());
    }
}
