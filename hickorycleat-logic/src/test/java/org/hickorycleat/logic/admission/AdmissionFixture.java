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

/** Sends random load with a mean service time of 100 ms to admission control for 88 slots. */
final class AdmissionFixture {
    static final int SLOTS = 88;
    static final ServiceName SERVICE = new ServiceName("booking");
    private static final double MEAN_SERVICE_TIME_MS = 100;

    /** Lowers the tolerated queue to 0.1 per slot, because no network delay is simulated. */
    private static final AdmissionSettings SETTINGS =
            new AdmissionSettings(AdmissionSettings.DEFAULT.shares(), 0.02, 0.1, 16, 100, 30_000);

    final TestScheduler mScheduler = new TestScheduler(1_000, MILLISECONDS);
    final FairAdmissionControl mControl;
    final Map<LoadSource, RequestCounts> mCounts = new HashMap<>();
    private final List<LoadSource> mSources = new ArrayList<>();
    private final SplittableRandom mRandom;
    private int mInFlight;

    AdmissionFixture(long seed) {
        this(seed, SETTINGS);
    }

    AdmissionFixture(long seed, AdmissionSettings settings) {
        mControl = new FairAdmissionControl(this::capacity, mScheduler, settings, 3);
        mRandom = new SplittableRandom(seed);
    }

    /** A class and team with its mean number of concurrent requests. */
    record LoadSource(Criticality criticality, TeamName team, double concurrency) {}

    /**
     * Request counts of a source since the last reset; the sum adds the requests in flight each ms.
     */
    static final class RequestCounts {
        int mOffered;
        int mRejected;
        int mInFlight;
        long mInFlightSum;

        double rejectedShare() {
            return (double) mRejected / mOffered;
        }
    }

    LoadSource offer(Criticality criticality, String team, double concurrency) {
        LoadSource source = new LoadSource(criticality, new TeamName(team), concurrency);
        mSources.add(source);
        mCounts.put(source, new RequestCounts());
        return source;
    }

    RequestCounts counts(LoadSource source) {
        return Objects.requireNonNull(mCounts.get(source));
    }

    /** Runs the load and discards the counts of the first quarter as warm-up. */
    void run(int milliseconds) {
        for (int i = 0; i < milliseconds; i++) {
            if (i == milliseconds / 4) {
                mCounts.values().forEach(AdmissionFixture::reset);
            }
            mSources.forEach(this::arrive);
            mScheduler.advanceTimeBy(1, MILLISECONDS);
            mCounts.values()
                    .forEach(sourceCounts -> sourceCounts.mInFlightSum += sourceCounts.mInFlight);
        }
    }

    double meanInFlight(LoadSource source, int milliseconds) {
        return (double) counts(source).mInFlightSum / (milliseconds - milliseconds / 4);
    }

    private static void reset(RequestCounts sourceCounts) {
        sourceCounts.mOffered = 0;
        sourceCounts.mRejected = 0;
        sourceCounts.mInFlightSum = 0;
    }

    private ServiceCapacity capacity(ServiceName service) {
        return new ServiceCapacity(
                SLOTS, Math.max(0, SLOTS - mInFlight), Math.max(0, mInFlight - SLOTS), 1);
    }

    private void arrive(LoadSource source) {
        double probability = source.concurrency() / MEAN_SERVICE_TIME_MS;
        for (int i = 0; i < Math.ceil(probability); i++) {
            if (mRandom.nextDouble() < probability / Math.ceil(probability)) {
                request(source);
            }
        }
    }

    private void request(LoadSource source) {
        RequestCounts sourceCounts = counts(source);
        sourceCounts.mOffered++;
        Admission admission = mControl.admit(SERVICE, source.criticality(), source.team(), 10_000);
        if (!(admission instanceof Admission.Admitted admitted)) {
            sourceCounts.mRejected++;
            return;
        }
        sourceCounts.mInFlight++;
        mInFlight++;
        long serviceTimeMs =
                Math.max(1, Math.round(-MEAN_SERVICE_TIME_MS * Math.log(1 - mRandom.nextDouble())));
        mScheduler.scheduleDirect(() -> end(sourceCounts, admitted), serviceTimeMs, MILLISECONDS);
    }

    private void end(RequestCounts sourceCounts, Admission.Admitted admitted) {
        sourceCounts.mInFlight--;
        mInFlight--;
        admitted.permit().close();
    }
}
