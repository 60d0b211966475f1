package org.hickorycleat.logic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.TargetState;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.jetbrains.lincheck.datastructures.ThreadIdGen;
import org.junit.jupiter.api.Test;

/** Checks concurrent calls of reserve and release with one target that accepts two requests. */
public class ServiceRoutesLincheckTest {
    private static final int THREADS = 2;
    private static final int CALLERS = 4;
    private static final int CALLS = 20_000;
    private static final int ROUNDS = 5;
    private static final ZoneId ZONE = new ZoneId("a");
    private static final TargetAddress TARGET =
            new TargetAddress(
                    new ProcessId("agent"), new ServiceName("booking"), new InstanceNumber(0));
    private static final List<TargetView> READY =
            List.of(
                    new TargetView(
                            TARGET,
                            ZONE,
                            new Incarnation(1),
                            TargetState.READY,
                            2,
                            2,
                            new LoadSignal(0, 0, 0),
                            0,
                            0,
                            0,
                            true));

    private final ServiceRoutes mRoutes = new ServiceRoutes(RoutingSettings.DEFAULT, ZONE, 1);
    private final List<Deque<ServiceRoutes.ReservedRoute>> mHeld = new ArrayList<>();

    public ServiceRoutesLincheckTest() {
        for (int thread = 0; thread <= THREADS + 1; thread++) {
            mHeld.add(new ArrayDeque<>());
        }
    }

    @Operation
    public boolean reserve(@Param(gen = ThreadIdGen.class) int thread) {
        Optional<ServiceRoutes.ReservedRoute> reserved =
                mRoutes.reserve(READY, Set.of(TARGET), 1, 20_000);
        reserved.ifPresent(one -> mHeld.get(thread).push(one));
        return reserved.isPresent();
    }

    /** Releases a reservation of the same thread, so that threads share only the routes. */
    @Operation
    public boolean release(@Param(gen = ThreadIdGen.class) int thread) {
        ServiceRoutes.ReservedRoute reserved = mHeld.get(thread).poll();
        if (reserved == null) {
            return false;
        }
        mRoutes.release(reserved, HealthObservation.SUCCESS, 1_000, 20_000);
        return true;
    }

    /** Guards against lost updates of the counters under concurrent calls. */
    @Test
    void reserveAndReleaseAreAtomic() {
        new StressOptions()
                .iterations(8)
                .invocationsPerIteration(150)
                .threads(THREADS)
                .actorsPerThread(4)
                .check(ServiceRoutesLincheckTest.class);
    }

    /**
     * Guards against a release without the lock. The invocations of Lincheck are too few to
     * interrupt a thread between the read and the write of the counter, so this test runs many more
     * calls.
     */
    @Test
    void noRequestStaysCountedAfterManyConcurrentCalls() {
        for (int round = 0; round < ROUNDS; round++) {
            ServiceRoutes routes = new ServiceRoutes(RoutingSettings.DEFAULT, ZONE, round);
            CompletableFuture<?>[] callers = new CompletableFuture<?>[CALLERS];
            ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
            try {
                for (int caller = 0; caller < CALLERS; caller++) {
                    callers[caller] = CompletableFuture.runAsync(() -> callOften(routes), threads);
                }
                CompletableFuture.allOf(callers).join();
            } finally {
                threads.shutdown();
            }
            assertThat(inFlight(routes)).as("requests in flight, round %s", round).isZero();
        }
    }

    private static void callOften(ServiceRoutes routes) {
        for (int call = 0; call < CALLS; call++) {
            routes.reserve(READY, Set.of(TARGET), 1, 20_000)
                    .ifPresent(
                            one -> routes.release(one, HealthObservation.SUCCESS, 1_000, 20_000));
        }
    }

    private static int inFlight(ServiceRoutes routes) {
        return routes.status(20_000).stream().mapToInt(RouteStatus::inFlight).sum();
    }
}
