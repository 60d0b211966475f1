package org.hickorycleat.logic.admission;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;

/** Offers random load of 100 ms per request to admission control of 88 slots. */
final class AdmissionFixture {
    static final int SLOTS = 88;
    static final ServiceName SERVICE = new ServiceName("booking");
    private static final double HOLD_MS = 100;

    /** Requests spend no time on a network here, so that only a short queue is needed. */
    private static final AdmissionSettings SETTINGS =
            new AdmissionSettings(AdmissionSettings.DEFAULT.shares(), 0.02, 0.1, 16, 100, 30_000);

    final TestScheduler mScheduler = new TestScheduler(1_000, MILLISECONDS);
    final FairAdmissionControl mControl;
    final Map<Source, Tally> mTallies = new HashMap<>();
    private final List<Source> mSources = new ArrayList<>();
    private final SplittableRandom mRandom;
    private int mInFlight;

    AdmissionFixture(long seed) {
        this(seed, SETTINGS);
    }

    AdmissionFixture(long seed, AdmissionSettings settings) {
        mControl = new FairAdmissionControl(this::slots, mScheduler, settings, 3);
        mRandom = new SplittableRandom(seed);
    }

    /** A class and team that offers a number of concurrent requests on average. */
    record Source(Criticality criticality, TeamName team, double concurrency) {}

    /** Counts of a source since the last reset, and the sum of its requests in flight per ms. */
    static final class Tally {
        int mOffered;
        int mRefused;
        int mInFlight;
        long mInFlightSum;

        double refusedShare() {
            return (double) mRefused / mOffered;
        }
    }

    Source offer(Criticality criticality, String team, double concurrency) {
        Source source = new Source(criticality, new TeamName(team), concurrency);
        mSources.add(source);
        mTallies.put(source, new Tally());
        return source;
    }

    Tally tally(Source source) {
        return Objects.requireNonNull(mTallies.get(source));
    }

    /** Runs, and counts only what happens after a quarter of the time. */
    void run(int milliseconds) {
        for (int i = 0; i < milliseconds; i++) {
            if (i == milliseconds / 4) {
                mTallies.values().forEach(AdmissionFixture::reset);
            }
            mSources.forEach(this::arrive);
            mScheduler.advanceTimeBy(1, MILLISECONDS);
            mTallies.values().forEach(tally -> tally.mInFlightSum += tally.mInFlight);
        }
    }

    double meanInFlight(Source source, int milliseconds) {
        return (double) tally(source).mInFlightSum / (milliseconds - milliseconds / 4);
    }

    private static void reset(Tally tally) {
        tally.mOffered = 0;
        tally.mRefused = 0;
        tally.mInFlightSum = 0;
    }

    private ServiceSlots slots(ServiceName service) {
        return new ServiceSlots(
                SLOTS, Math.max(0, SLOTS - mInFlight), Math.max(0, mInFlight - SLOTS), 1);
    }

    private void arrive(Source source) {
        double probability = source.concurrency() / HOLD_MS;
        for (int i = 0; i < Math.ceil(probability); i++) {
            if (mRandom.nextDouble() < probability / Math.ceil(probability)) {
                request(source);
            }
        }
    }

    private void request(Source source) {
        Tally tally = tally(source);
        tally.mOffered++;
        Admission admission = mControl.admit(SERVICE, source.criticality(), source.team(), 10_000);
        if (!(admission instanceof Admission.Admitted admitted)) {
            tally.mRefused++;
            return;
        }
        tally.mInFlight++;
        mInFlight++;
        long holdMs = Math.max(1, Math.round(-HOLD_MS * Math.log(1 - mRandom.nextDouble())));
        mScheduler.scheduleDirect(() -> end(tally, admitted), holdMs, MILLISECONDS);
    }

    private void end(Tally tally, Admission.Admitted admitted) {
        tally.mInFlight--;
        mInFlight--;
        admitted.permit().close();
    }
}
