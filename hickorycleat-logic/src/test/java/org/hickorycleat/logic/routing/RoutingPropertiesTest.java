package org.hickorycleat.logic.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorycleat.logic.membership.AgentFixture.SERVICE;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hickorycleat.logic.membership.AgentFixture;
import org.hickorycleat.model.result.ResultCode;

class RoutingPropertiesTest {
    private static final ResultCode[] CODES = {
        ResultCode.OK,
        ResultCode.TARGET_FAILED,
        ResultCode.TARGET_TIMEOUT,
        ResultCode.CANCELLED,
        ResultCode.AGENT_QUEUE_FULL
    };

    private final List<TargetReservation> mHeld = new ArrayList<>();

    /**
     * Guards against reservations that are leaked or released twice, more requests in flight than
     * the limit, and ejection of more than 30% of the ready targets under random events.
     */
    @Property(seed = "11", tries = 300, edgeCases = EdgeCasesMode.NONE)
    void limitsHoldUnderRandomEvents(
            @ForAll @Size(min = 50, max = 400) List<@IntRange(min = 0, max = 9_999) Integer> steps,
            @ForAll @IntRange(min = 1, max = 13) int targets,
            @ForAll @IntRange(min = 1, max = 3) int entries) {
        mHeld.clear();
        RoutingFixture fixture = RoutingFixture.inOneZone(targets);
        fixture.mDirectory.setLiveEntries(entries);
        for (int step : steps) {
            apply(fixture, step % 10, step / 10);
            assertEjectionLimit(fixture);
            assertInFlightLimit(fixture, entries);
        }
        mHeld.forEach(one -> one.release(ResultCode.OK, Optional.empty(), 10_000));
        assertThat(fixture.mSelector.status(SERVICE)).allMatch(status -> status.inFlight() == 0);
    }

    private void apply(RoutingFixture fixture, int action, int value) {
        AgentFixture agent = fixture.mAgents.get(value % fixture.mAgents.size());
        switch (action) {
            case 0, 1, 2, 3 -> fixture.reserve().ifPresent(mHeld::add);
            case 4, 5 -> release(value);
            case 6 -> fixture.advance(value % 700);
            case 7 -> fixture.reportAll();
            case 8 -> agent.disconnect();
            default -> reconnect(agent, value);
        }
    }

    private static void reconnect(AgentFixture agent, int value) {
        if (value % 2 == 0) {
            agent.connect();
        } else {
            agent.restart();
        }
        agent.report();
    }

    private void release(int value) {
        if (mHeld.isEmpty()) {
            return;
        }
        TargetReservation held = mHeld.get(value % mHeld.size());
        // Targets with an odd number fail and are slow, so that ejections happen.
        boolean faulty = held.target().instance().value() % 2 == 1;
        ResultCode code = faulty ? CODES[value % CODES.length] : ResultCode.OK;
        held.release(code, Optional.empty(), faulty ? 200_000 : 10_000);
        if (value % 3 > 0) {
            mHeld.remove(held);
        }
        held.release(ResultCode.OK, Optional.empty(), 10_000);
    }

    private static void assertEjectionLimit(RoutingFixture fixture) {
        fixture.advance(50);
        fixture.mSelector.reserve(SERVICE, target -> true).ifPresent(RoutingPropertiesTest::cancel);
        List<TargetAddress> ready =
                fixture.mDirectory.readyTargets(SERVICE).stream()
                        .map(view -> view.address())
                        .toList();
        long ejected = ready.stream().filter(fixture.mSelector::isEjected).count();
        assertThat(ejected * 10).isLessThanOrEqualTo(ready.size() * 3L);
    }

    private static void cancel(TargetReservation reservation) {
        reservation.release(ResultCode.CANCELLED, Optional.empty(), 0);
    }

    private static void assertInFlightLimit(RoutingFixture fixture, int entries) {
        int slotShare = (8 + entries - 1) / entries;
        assertThat(fixture.mSelector.status(SERVICE))
                .allMatch(status -> status.inFlight() >= 0)
                .allMatch(status -> status.inFlight() <= 2 * slotShare);
    }
}
