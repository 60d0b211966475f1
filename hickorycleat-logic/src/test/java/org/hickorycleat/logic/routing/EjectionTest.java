package org.hickorycleat.logic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EjectionTest {
    private final Ejection mEjection = new Ejection();

    /** Guards against probing a broken target every second permanently. */
    @Test
    void eachEjectionLastsTwiceAsLongUpToTheMaximum() {
        long[] expected = {1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 60_000, 60_000};
        for (long lengthMs : expected) {
            mEjection.eject(EjectionReason.ERRORS, RoutingSettings.DEFAULT, 500);
            assertThat(mEjection.untilMs()).isEqualTo(500 + lengthMs);
        }
    }

    /** Guards against long ejections of a target that worked for a minute. */
    @Test
    void ejectionCountIsResetAfterOneMinuteInUse() {
        mEjection.eject(EjectionReason.ERRORS, RoutingSettings.DEFAULT, 0);
        mEjection.eject(EjectionReason.ERRORS, RoutingSettings.DEFAULT, 1_000);
        mEjection.end(3_000);
        mEjection.eject(EjectionReason.ERRORS, RoutingSettings.DEFAULT, 63_000);
        assertThat(mEjection.untilMs()).isEqualTo(64_000);
    }

    /** Guards against a return to use after a single successful probe. */
    @Test
    void targetReturnsOnlyAfterRequiredProbesSucceed() {
        mEjection.eject(EjectionReason.ERRORS, RoutingSettings.DEFAULT, 0);
        assertThat(mEjection.isProbeDue(999)).isFalse();
        assertThat(mEjection.isProbeDue(1_000)).isTrue();
        mEjection.recordProbeStart();
        assertThat(mEjection.isProbeDue(1_000)).isFalse();
        assertThat(mEjection.recordSuccessfulProbe(2)).isFalse();
        assertThat(mEjection.isProbeDue(1_000)).isTrue();
        assertThat(mEjection.recordSuccessfulProbe(2)).isTrue();
    }
}
