package org.hickorycleat.measurements.requests;

import static java.util.concurrent.TimeUnit.MICROSECONDS;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.logic.routing.TargetReservation;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.TargetReport;
import org.hickorycleat.model.message.TargetState;
import org.hickorycleat.model.result.ResultCode;

/** Simulates 11 targets in 4 availability zones, whose reports reach one entry a second late. */
final class FleetFake {
    static final ServiceName SERVICE = new ServiceName("booking");
    static final int TARGETS = 11;
    static final int SLOTS = TARGETS * TargetFake.SLOTS;
    static final double MEAN_SERVICE_MICROS = 20_000;
    static final long DEADLINE_MICROS = 2_000_000;
    static final ZoneId ENTRY_ZONE = new ZoneId("zone-0");

    private static final int ZONES = 4;
    private static final long REPORT_DELAY_MS = 1_000;
    private static final long SAME_ZONE_DELAY_MICROS = 250;
    private static final long OTHER_ZONE_DELAY_MICROS = 4_000;

    /** Start time of the load; the slow start of all targets has ended by then. */
    private static final long START_MS = 100_000;

    final TestScheduler mScheduler = new TestScheduler(0, MILLISECONDS);
    final TargetDirectory mDirectory = new TargetDirectory(mScheduler);
    final SplittableRandom mRandom;
    private final List<TargetFake> mTargets = new ArrayList<>();

    FleetFake(long seed) {
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < TARGETS; i++) {
            mTargets.add(new TargetFake(mScheduler, mRandom.split(), MEAN_SERVICE_MICROS));
            mDirectory.onAgentConnected(
                    agent(i), zone(i), new Incarnation(1), new SessionNumber(1));
            int target = i;
            mScheduler.schedulePeriodicallyDirect(() -> report(target), 0, 1_000, MILLISECONDS);
        }
        mScheduler.advanceTimeTo(START_MS, MILLISECONDS);
    }

    /** Returns the requests per second that keep all slots of healthy targets in use. */
    static double capacityPerSecond() {
        return SLOTS * 1_000_000 / MEAN_SERVICE_MICROS;
    }

    TargetFake target(int index) {
        return mTargets.get(index);
    }

    /** Schedules requests with exponentially distributed gaps until the run ends. */
    void startArrivals(double ratePerSecond, Runnable request) {
        long gapMicros =
                Math.round(-Math.log(1 - mRandom.nextDouble()) * 1_000_000 / ratePerSecond);
        mScheduler.scheduleDirect(
                () -> {
                    request.run();
                    startArrivals(ratePerSecond, request);
                },
                gapMicros,
                MICROSECONDS);
    }

    void run(long milliseconds) {
        mScheduler.advanceTimeBy(milliseconds, MILLISECONDS);
    }

    /** Sends a request and passes its result to the listener, at the latest at its deadline. */
    void invoke(TargetReservation reservation, Consumer<ResultCode> listener) {
        int index = (int) reservation.target().instance().value();
        long delayMicros =
                zone(index).equals(ENTRY_ZONE) ? SAME_ZONE_DELAY_MICROS : OTHER_ZONE_DELAY_MICROS;
        RequestInFlight inFlight = new RequestInFlight(reservation, listener);
        long deadlineMicros = inFlight.mStartMicros + DEADLINE_MICROS;
        mScheduler.scheduleDirect(
                () ->
                        mTargets.get(index)
                                .accept(
                                        deadlineMicros,
                                        (code, load) ->
                                                mScheduler.scheduleDirect(
                                                        () ->
                                                                inFlight.complete(
                                                                        code, Optional.of(load)),
                                                        delayMicros,
                                                        MICROSECONDS)),
                delayMicros,
                MICROSECONDS);
        mScheduler.scheduleDirect(
                () -> inFlight.complete(ResultCode.TARGET_TIMEOUT, Optional.empty()),
                DEADLINE_MICROS,
                MICROSECONDS);
    }

    private void report(int index) {
        LoadSignal load = mTargets.get(index).load();
        TargetReport target =
                new TargetReport(
                        SERVICE,
                        new InstanceNumber(index),
                        TargetState.READY,
                        TargetFake.SLOTS,
                        TargetFake.CONNECTIONS,
                        load);
        AgentReport report =
                new AgentReport(
                        mScheduler.now(MILLISECONDS),
                        new ConfigurationVersion(1),
                        List.of(target),
                        Optional.empty());
        mScheduler.scheduleDirect(
                () -> mDirectory.onAgentReport(agent(index), report),
                REPORT_DELAY_MS,
                MILLISECONDS);
    }

    private static ProcessId agent(int index) {
        return new ProcessId("agent-" + index);
    }

    private static ZoneId zone(int index) {
        return new ZoneId("zone-" + index % ZONES);
    }

    /** A request in flight; only its first result counts. */
    private final class RequestInFlight {
        private final TargetReservation mReservation;
        private final Consumer<ResultCode> mListener;
        private final long mStartMicros = mScheduler.now(MICROSECONDS);
        private boolean mCompleted;

        RequestInFlight(TargetReservation reservation, Consumer<ResultCode> listener) {
            mReservation = reservation;
            mListener = listener;
        }

        void complete(ResultCode code, Optional<LoadSignal> load) {
            if (!mCompleted) {
                mCompleted = true;
                mReservation.release(code, load, mScheduler.now(MICROSECONDS) - mStartMicros);
                mListener.accept(code);
            }
        }
    }
}
