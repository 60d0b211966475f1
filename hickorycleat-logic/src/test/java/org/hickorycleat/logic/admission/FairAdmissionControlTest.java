package org.hickorycleat.logic.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorycleat.logic.admission.AdmissionFixture.SERVICE;
import static org.hickorycleat.logic.admission.AdmissionFixture.SLOTS;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorycleat.logic.admission.AdmissionFixture.LoadSource;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.result.ResultCode;
import org.junit.jupiter.api.Test;

class FairAdmissionControlTest {
    private static final int RUN_MS = 8_000;

    /** Guards against unused reserves: a single class must be able to use the whole capacity. */
    @Test
    void singleFloodingClassUsesAllCapacity() {
        AdmissionFixture fixture = new AdmissionFixture(1);
        LoadSource flood = fixture.offer(Criticality.SHEDDABLE, "any", 10 * SLOTS);
        fixture.run(RUN_MS);
        assertThat(fixture.meanInFlight(flood, RUN_MS)).isGreaterThan(0.95 * SLOTS);
    }

    /** Guards against rejections while the load is below capacity. */
    @Test
    void loadBelowCapacityIsAdmitted() {
        AdmissionFixture fixture = new AdmissionFixture(2);
        LoadSource source = fixture.offer(Criticality.NORMAL, "any", 0.6 * SLOTS);
        fixture.run(RUN_MS);
        assertThat(fixture.counts(source).rejectedShare()).isLessThan(0.005);
    }

    /** Guards against an overloading team starving another team of the most critical class. */
    @Test
    void floodingTeamDoesNotStarveTeamWithinItsShare() {
        AdmissionFixture fixture = withTeams(3);
        LoadSource flood = fixture.offer(Criticality.CRITICAL, "one", 10 * SLOTS);
        LoadSource modest = fixture.offer(Criticality.CRITICAL, "two", 0.2 * SLOTS);
        fixture.run(RUN_MS);
        assertThat(fixture.counts(modest).rejectedShare()).isLessThan(0.01);
        assertThat(fixture.meanInFlight(flood, RUN_MS)).isGreaterThan(0.7 * SLOTS);
    }

    /**
     * Guards against sharing in proportion to arrivals rather than weights when all teams overload.
     */
    @Test
    void floodingTeamsShareByWeight() {
        AdmissionFixture fixture = withTeams(4);
        LoadSource light = fixture.offer(Criticality.CRITICAL, "one", 10 * SLOTS);
        LoadSource heavy = fixture.offer(Criticality.CRITICAL, "three", 3 * SLOTS);
        fixture.run(RUN_MS);
        double ratio = fixture.meanInFlight(heavy, RUN_MS) / fixture.meanInFlight(light, RUN_MS);
        assertThat(ratio).isBetween(2.5, 3.5);
    }

    /** Guards against memory use that grows with team names invented by callers. */
    @Test
    void unknownTeamsShareOneRecord() {
        AdmissionFixture fixture = withTeams(5);
        for (int i = 0; i < 10_000; i++) {
            TeamName team = new TeamName("unknown-" + i);
            close(fixture.mControl.admit(SERVICE, Criticality.NORMAL, team, 1_000));
        }
        assertThat(fixture.mControl.status(SERVICE).orElseThrow().teams()).isEqualTo(1);
    }

    /** Guards against rejected callers that all retry at the same time. */
    @Test
    void retryDelaysAreSpreadAndGrowWithOverload() {
        List<Long> mild = retryDelays(2 * SLOTS);
        List<Long> severe = retryDelays(20 * SLOTS);
        assertThat(new HashSet<>(severe)).hasSizeGreaterThan(100);
        assertThat(mean(severe)).isGreaterThan(4 * mean(mild));
    }

    /** Guards against work on requests whose deadline has passed. */
    @Test
    void expiredRequestIsRejected() {
        AdmissionFixture fixture = new AdmissionFixture(6);
        Admission admission =
                fixture.mControl.admit(SERVICE, Criticality.CRITICAL, new TeamName("one"), 0);
        assertThat(admission).isEqualTo(new Admission.Rejected(ResultCode.DEADLINE_EXCEEDED, 0));
    }

    /** Guards against a permit that releases its capacity twice. */
    @Test
    void secondCloseOfPermitChangesNothing() {
        AdmissionFixture fixture = new AdmissionFixture(7);
        Admission first = admit(fixture);
        admit(fixture);
        close(first);
        close(first);
        assertThat(fixture.mControl.status(SERVICE).orElseThrow().inFlight()).isEqualTo(1);
    }

    /** Guards against state kept for services that were removed from the configuration. */
    @Test
    void unconfiguredServiceIsDroppedOnceNothingIsInFlight() {
        AdmissionFixture fixture = new AdmissionFixture(8);
        Admission admission = admit(fixture);
        fixture.mControl.retainServices(Set.of());
        assertThat(fixture.mControl.status(SERVICE)).isPresent();
        close(admission);
        fixture.mControl.retainServices(Set.of());
        assertThat(fixture.mControl.status(SERVICE)).isEmpty();
    }

    private static List<Long> retryDelays(double concurrency) {
        AdmissionFixture fixture = new AdmissionFixture(9);
        fixture.offer(Criticality.NORMAL, "any", concurrency);
        fixture.run(3_000);
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            if (admit(fixture) instanceof Admission.Rejected rejected) {
                delays.add(rejected.retryAfterMs());
            }
        }
        return delays;
    }

    private static double mean(List<Long> values) {
        return values.stream().mapToLong(Long::longValue).average().orElseThrow();
    }

    private static Admission admit(AdmissionFixture fixture) {
        return fixture.mControl.admit(SERVICE, Criticality.NORMAL, new TeamName("any"), 1_000);
    }

    private static void close(Admission admission) {
        if (admission instanceof Admission.Admitted admitted) {
            admitted.permit().close();
        }
    }

    private static AdmissionFixture withTeams(long seed) {
        AdmissionFixture fixture = new AdmissionFixture(seed);
        fixture.mControl.setTeamWeights(
                Map.of(new TeamName("one"), 1, new TeamName("two"), 1, new TeamName("three"), 3));
        return fixture;
    }
}
