package org.hickorycleat.logic.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorycleat.logic.membership.AgentFixture.SERVICE;
import static org.hickorycleat.logic.routing.RoutingFixture.USUAL_MICROS;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.membership.AgentFixture;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.TargetState;
import org.hickorycleat.model.result.ResultCode;
import org.junit.jupiter.api.Test;

class PowerOfTwoSelectorTest {
    /**
     * Guards against more requests than the share of slots and queue allows with several entries.
     */
    @Test
    void inFlightStaysWithinShareOfSlotsAndQueue() {
        RoutingFixture fixture = RoutingFixture.inOneZone(2);
        fixture.mDirectory.setLiveEntries(3);
        List<TargetReservation> held = fill(fixture);
        assertThat(held).hasSize(2 * (3 + 3));
        held.get(0).release(ResultCode.OK, Optional.empty(), USUAL_MICROS);
        held.get(0).release(ResultCode.OK, Optional.empty(), USUAL_MICROS);
        assertThat(fill(fixture)).hasSize(1);
    }

    /** Guards against requests to other zones while the own zone has free slots. */
    @Test
    void ownZoneIsFilledFirst() {
        RoutingFixture fixture = new RoutingFixture("a", "a", "b", "b");
        for (int i = 0; i < 16; i++) {
            assertThat(fixture.numberOf(fixture.reserve().orElseThrow())).isLessThan(2);
        }
        assertThat(fixture.numberOf(fixture.reserve().orElseThrow())).isGreaterThan(1);
    }

    /** Guards against a paused target that is avoided only once requests miss their deadlines. */
    @Test
    void pausedTargetIsEjectedWithinOneSecond() {
        RoutingFixture fixture = RoutingFixture.inOneZone(11);
        fixture.run(300, target -> ResultCode.OK, USUAL_MICROS);
        List<TargetReservation> unanswered = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            TargetReservation reservation = fixture.reserve().orElseThrow();
            fixture.advance(5);
            if (fixture.numberOf(reservation) == 4) {
                unanswered.add(reservation);
            } else {
                reservation.release(ResultCode.OK, Optional.empty(), USUAL_MICROS);
            }
        }
        assertThat(unanswered).hasSizeBetween(1, 8);
        assertThat(fixture.isEjected(4)).isTrue();
        unanswered.forEach(one -> one.release(ResultCode.OK, Optional.empty(), 1_000_000));
        fixture.run(1_000, target -> ResultCode.OK, USUAL_MICROS);
        assertThat(fixture.isEjected(4)).isFalse();
    }

    /** Guards against a target that attracts requests by failing fast. */
    @Test
    void failingTargetIsEjectedAndReturnsOnlyAfterProbes() {
        RoutingFixture fixture = RoutingFixture.inOneZone(11);
        int[] taken = fixture.run(1_000, target -> failing(target, 3), 100);
        assertThat(fixture.isEjected(3)).isTrue();
        assertThat(taken[3]).isLessThan(12);
        fixture.advanceWithReports(60_000);
        int[] recovered = fixture.run(3_000, target -> ResultCode.OK, USUAL_MICROS);
        assertThat(fixture.isEjected(3)).isFalse();
        assertThat(recovered[3]).isGreaterThan(10);
    }

    /** Guards against a slow target taking its full share of requests. */
    @Test
    void slowTargetIsEjected() {
        RoutingFixture fixture = RoutingFixture.inOneZone(4);
        long[] latencies = {USUAL_MICROS, USUAL_MICROS, USUAL_MICROS, 10 * USUAL_MICROS};
        int[] taken = fixture.run(1_000, target -> ResultCode.OK, latencies);
        assertThat(fixture.isEjected(3)).isTrue();
        assertThat(taken[3]).isLessThan(20);
    }

    /** Guards against ejecting targets when all of them are equally slow or failing. */
    @Test
    void failureOfAllTargetsEjectsNone() {
        RoutingFixture fixture = RoutingFixture.inOneZone(11);
        fixture.run(1_000, target -> ResultCode.TARGET_FAILED, 10 * USUAL_MICROS);
        for (int target = 0; target < 11; target++) {
            assertThat(fixture.isEjected(target)).isFalse();
        }
    }

    /**
     * Guards against full load on a restarted target, and against never sending it requests again.
     */
    @Test
    void restartedTargetRampsUp() {
        RoutingFixture fixture = RoutingFixture.inOneZone(5);
        fixture.run(500, target -> ResultCode.OK, USUAL_MICROS);
        fixture.mAgents.get(2).restart();
        fixture.reportAll();
        int[] early = fixture.run(400, target -> ResultCode.OK, USUAL_MICROS);
        fixture.advanceWithReports(10_000);
        int[] late = fixture.run(400, target -> ResultCode.OK, USUAL_MICROS);
        assertThat(early[2]).isBetween(1, 35);
        assertThat(late[2]).isBetween(50, 110);
    }

    /** Guards against requests to a target that rejected one because it is leaving. */
    @Test
    void targetThatRejectedAsLeavingReceivesNoMoreRequests() {
        RoutingFixture fixture = RoutingFixture.inOneZone(1);
        fixture.reserve()
                .orElseThrow()
                .release(ResultCode.TARGET_LEAVING, Optional.empty(), USUAL_MICROS);
        assertThat(fixture.reserve()).isEmpty();
        fixture.mAgents.get(0).report(TargetState.READY, AgentFixture.IDLE, 200_000);
        assertThat(fixture.reserve()).isPresent();
    }

    /**
     * Guards against a request with an idempotency key finding no target because the only instance
     * that may serve it is ejected.
     */
    @Test
    void ejectedTargetServesRequestsThatOnlyItMayServe() {
        RoutingFixture fixture = RoutingFixture.inOneZone(11);
        fixture.run(600, target -> failing(target, 3), USUAL_MICROS);
        TargetAddress only = fixture.mAgents.get(3).address();
        assertThat(fixture.isEjected(3)).isTrue();
        assertThat(fixture.mSelector.reserve(SERVICE, only::equals)).isPresent();
    }

    /** Guards against ignoring the load from other entries. */
    @Test
    void loadOfOtherEntriesIsAvoided() {
        RoutingFixture fixture = RoutingFixture.inOneZone(2);
        fixture.run(100, target -> ResultCode.OK, USUAL_MICROS);
        long uptimeMs = fixture.mDirectory.nowMs();
        fixture.mAgents.get(0).report(TargetState.READY, new LoadSignal(8, 5, 10_000), uptimeMs);
        for (int i = 0; i < 5; i++) {
            assertThat(fixture.numberOf(fixture.reserve().orElseThrow())).isEqualTo(1);
        }
    }

    private static ResultCode failing(int target, int failing) {
        return target == failing ? ResultCode.TARGET_FAILED : ResultCode.OK;
    }

    private static List<TargetReservation> fill(RoutingFixture fixture) {
        List<TargetReservation> held = new ArrayList<>();
        for (Optional<TargetReservation> next = fixture.reserve();
                next.isPresent();
                next = fixture.reserve()) {
            held.add(next.get());
        }
        return held;
    }
}
