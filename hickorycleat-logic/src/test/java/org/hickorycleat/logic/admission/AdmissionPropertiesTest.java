package org.hickorycleat.logic.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorycleat.logic.admission.AdmissionFixture.SERVICE;
import static org.hickorycleat.logic.admission.AdmissionFixture.SLOTS;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hickorycleat.logic.admission.AdmissionFixture.LoadSource;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;

class AdmissionPropertiesTest {
    private static final int RUN_MS = 10_000;
    private static final List<Criticality> CLASSES = List.of(Criticality.values());

    /**
     * Guards against a class with a load of 10 times the capacity displacing requests within the
     * shares of other classes, or leaving capacity unused.
     */
    @Property(seed = "21", tries = 12, edgeCases = EdgeCasesMode.NONE)
    void sharesHoldUnderFloodOfEachClass(
            @ForAll Criticality flooding, @ForAll @IntRange(max = 1_000) int seed) {
        double total = meanInFlightUnderFlood(new AdmissionFixture(seed), flooding);
        assertThat(total).isBetween(0.95 * SLOTS, 1.1 * SLOTS);
    }

    /** Guards against default settings that violate shares which hold with a shorter queue. */
    @Property(seed = "21", tries = 12, edgeCases = EdgeCasesMode.NONE)
    void sharesHoldUnderFloodOfEachClassWithDefaultSettings(
            @ForAll Criticality flooding, @ForAll @IntRange(max = 1_000) int seed) {
        AdmissionSettings settings = AdmissionSettings.DEFAULT;
        double total = meanInFlightUnderFlood(new AdmissionFixture(seed, settings), flooding);
        double maximum = (1 + settings.queuedPerSlot() + 0.1) * SLOTS;
        assertThat(total).isBetween(0.95 * SLOTS, maximum);
    }

    /** Checks that other classes are not rejected and returns the mean requests in flight. */
    private static double meanInFlightUnderFlood(AdmissionFixture fixture, Criticality flooding) {
        Map<Criticality, LoadSource> sources = new EnumMap<>(Criticality.class);
        for (Criticality criticality : Criticality.values()) {
            double share = AdmissionSettings.DEFAULT.share(criticality) * SLOTS;
            double load = criticality == flooding ? 10 * SLOTS : 0.8 * share;
            sources.put(criticality, fixture.offer(criticality, "any", load));
        }
        fixture.run(RUN_MS);
        double total = 0;
        for (Map.Entry<Criticality, LoadSource> entry : sources.entrySet()) {
            total += fixture.meanInFlight(entry.getValue(), RUN_MS);
            if (entry.getKey() != flooding) {
                assertThat(fixture.counts(entry.getValue()).rejectedShare())
                        .as("rejected share of %s while %s floods", entry.getKey(), flooding)
                        .isLessThan(0.01);
            }
        }
        return total;
    }

    /** Guards against a class losing its guaranteed share when all classes are overloaded. */
    @Property(seed = "22", tries = 3, edgeCases = EdgeCasesMode.NONE)
    void everyClassKeepsItsGuaranteeWhenAllFlood(@ForAll @IntRange(max = 1_000) int seed) {
        floodAllClasses(new AdmissionFixture(seed));
    }

    /** Guards against a class losing its guaranteed share with the default settings. */
    @Property(seed = "22", tries = 3, edgeCases = EdgeCasesMode.NONE)
    void everyClassKeepsItsGuaranteeWithDefaultSettings(@ForAll @IntRange(max = 1_000) int seed) {
        AdmissionSettings settings = AdmissionSettings.DEFAULT;
        double total = floodAllClasses(new AdmissionFixture(seed, settings));
        double maximum = (1 + settings.queuedPerSlot() + 0.1) * SLOTS;
        assertThat(total).isBetween(0.95 * SLOTS, maximum);
    }

    /** Checks the guaranteed share of each class and returns the mean requests in flight. */
    private static double floodAllClasses(AdmissionFixture fixture) {
        Map<Criticality, LoadSource> sources = new EnumMap<>(Criticality.class);
        for (Criticality criticality : Criticality.values()) {
            sources.put(criticality, fixture.offer(criticality, "any", 3 * SLOTS));
        }
        fixture.run(RUN_MS);
        sources.forEach(
                (criticality, source) ->
                        assertThat(fixture.meanInFlight(source, RUN_MS))
                                .as("in flight of %s", criticality)
                                .isGreaterThan(
                                        0.9
                                                * SLOTS
                                                * AdmissionSettings.DEFAULT.share(criticality)));
        return sources.values().stream()
                .mapToDouble(source -> fixture.meanInFlight(source, RUN_MS))
                .sum();
    }

    /** Guards against permits that are leaked or released twice under random sequences of calls. */
    @Property(seed = "23", tries = 200, edgeCases = EdgeCasesMode.NONE)
    void countsMatchOpenPermits(
            @ForAll @Size(min = 50, max = 600) List<@IntRange(max = 9_999) Integer> steps) {
        AdmissionFixture fixture = new AdmissionFixture(1);
        fixture.mControl.setTeamWeights(Map.of(new TeamName("t0"), 1, new TeamName("t1"), 4));
        List<Admission.Admitted> open = new ArrayList<>();
        int inFlight = 0;
        for (int step : steps) {
            if (step % 3 < 2 || open.isEmpty()) {
                inFlight += admit(fixture, step, open);
            } else {
                Admission.Admitted one = open.remove(step % open.size());
                one.permit().close();
                one.permit().close();
                inFlight--;
            }
            fixture.mScheduler.advanceTimeBy(step % 7, TimeUnit.MILLISECONDS);
        }
        assertThat(open).hasSize(inFlight);
        assertThat(status(fixture).inFlight()).isEqualTo(inFlight);
        open.forEach(one -> one.permit().close());
        assertThat(status(fixture).inFlight()).isZero();
        assertThat(status(fixture).inFlightByClass().values()).containsOnly(0);
    }

    private static int admit(AdmissionFixture fixture, int step, List<Admission.Admitted> open) {
        Criticality criticality = CLASSES.get(step % CLASSES.size());
        TeamName team = new TeamName("t" + step % 5);
        Admission admission = fixture.mControl.admit(SERVICE, criticality, team, 1_000);
        if (admission instanceof Admission.Admitted admitted) {
            open.add(admitted);
            return 1;
        }
        return 0;
    }

    private static AdmissionStatus status(AdmissionFixture fixture) {
        return fixture.mControl.status(SERVICE).orElseThrow();
    }
}
