package org.hickorycleat.logic.election;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ContactAgeTest {
    private long mSteadyMs = 50_000;
    private long mWallMs = 1_700_000_000_000L;
    private final ContactAge mAge = new ContactAge(() -> mSteadyMs, () -> mWallMs);

    private void pass(long milliseconds) {
        mSteadyMs += milliseconds;
        mWallMs += milliseconds;
    }

    @Test
    void countsFromTheRequest() {
        ContactAge.Instant sentAt = mAge.now();
        pass(300);
        mAge.onResponse(sentAt);

        assertThat(mAge.ageMs()).isEqualTo(300);
    }

    @Test
    void countsPauseInWhichTheSteadyClockStandsStill() {
        mAge.onResponse(mAge.now());
        mWallMs += 10_000;

        assertThat(mAge.ageMs()).isEqualTo(10_000);
    }

    @Test
    void isNotRenewedByResponseThatArrivedDuringPause() {
        ContactAge.Instant sentAt = mAge.now();
        mWallMs += 10_000;
        mAge.onResponse(sentAt);

        assertThat(mAge.ageMs()).isEqualTo(10_000);
    }

    @Test
    void countsBySteadyClockWhenTheWallClockIsSetBack() {
        mAge.onResponse(mAge.now());
        pass(2_000);
        mWallMs -= 60_000;

        assertThat(mAge.ageMs()).isEqualTo(2_000);
    }

    @Test
    void keepsTheLatestOfResponsesOutOfOrder() {
        ContactAge.Instant first = mAge.now();
        pass(100);
        ContactAge.Instant second = mAge.now();
        mAge.onResponse(second);
        mAge.onResponse(first);

        assertThat(mAge.ageMs()).isZero();
    }

    @Test
    void isLongExpiredBeforeTheFirstResponse() {
        assertThat(mAge.ageMs()).isGreaterThan(60_000);
    }
}
