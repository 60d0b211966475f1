package org.hickorycleat.logic.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.model.identifier.ZoneId;

/** Routing state of one service; one lock guards all of it. */
final class ServiceRoutes {
    private final RoutingSettings mSettings;
    private final ZoneId mOwnZone;
    private final SplittableRandom mRandom;
    private final OutlierDetector mOutlierDetector;
    private final Map<TargetAddress, TargetStatistics> mStatistics = new HashMap<>();

    ServiceRoutes(RoutingSettings settings, ZoneId ownZone, long seed) {
        mSettings = settings;
        mOwnZone = ownZone;
        mRandom = new SplittableRandom(seed);
        mOutlierDetector = new OutlierDetector(settings);
    }

    /** Chooses an eligible ready target and counts the request; empty if none has capacity. */
    synchronized Optional<ReservedRoute> reserve(
            List<TargetView> ready, Set<TargetAddress> eligible, int liveEntries, long nowMs) {
        List<Route> routes = routes(ready, nowMs);
        mOutlierDetector.ejectOutliers(routes, nowMs);
        List<Route> candidates = filter(routes, route -> eligible.contains(route.view().address()));
        Optional<Route> probe =
                candidates.stream()
                        .filter(route -> isProbeDue(route, nowMs) && route.hasCapacity(liveEntries))
                        .findFirst();
        if (probe.isPresent()) {
            probe.get().statistics().ejection().recordProbeStart();
            return Optional.of(start(probe.get(), true, nowMs));
        }
        return choose(withoutEjected(candidates), liveEntries, nowMs)
                .map(route -> start(route, false, nowMs));
    }

    /** Ends a request and updates the statistics and the ejection of the target. */
    synchronized void release(
            ReservedRoute reserved, HealthObservation observation, long latencyMicros, long nowMs) {
        TargetStatistics statistics = reserved.statistics();
        statistics.recordEnd();
        statistics.recordResponse(observation, latencyMicros, nowMs);
        mOutlierDetector.onResponse(
                statistics, observation, reserved.probe(), latencyMicros, nowMs);
    }

    synchronized boolean isEjected(TargetAddress target) {
        TargetStatistics statistics = mStatistics.get(target);
        return statistics != null && statistics.ejection().isEjected();
    }

    synchronized List<RouteStatus> status(long nowMs) {
        List<RouteStatus> status = new ArrayList<>();
        mStatistics.forEach(
                (address, statistics) ->
                        status.add(
                                new RouteStatus(
                                        address,
                                        statistics.inFlight(),
                                        Math.round(statistics.latencyMicros()),
                                        statistics.errorRate(nowMs),
                                        statistics.ejection().reason(),
                                        statistics.ejection().untilMs())));
        return status;
    }

    /** Removes the state of targets that are not known any more and have no request in flight. */
    synchronized void retainTargets(Set<TargetAddress> known) {
        mStatistics
                .entrySet()
                .removeIf(
                        entry ->
                                !known.contains(entry.getKey())
                                        && entry.getValue().inFlight() == 0);
    }

    private List<Route> routes(List<TargetView> ready, long nowMs) {
        List<Route> routes = new ArrayList<>(ready.size());
        for (TargetView view : ready) {
            TargetStatistics statistics = mStatistics.get(view.address());
            if (statistics == null || !statistics.incarnation().equals(view.incarnation())) {
                statistics = new TargetStatistics(view);
                mStatistics.put(view.address(), statistics);
            }
            statistics.observeLoad(view, nowMs);
            routes.add(new Route(view, statistics));
        }
        return routes;
    }

    /** Returns whether to probe; a paused target with requests in flight is probed by those. */
    private static boolean isProbeDue(Route route, long nowMs) {
        Ejection ejection = route.statistics().ejection();
        boolean waiting =
                ejection.reason() == EjectionReason.PAUSED && route.statistics().inFlight() > 0;
        return ejection.isProbeDue(nowMs) && !waiting;
    }

    /** Returns the candidates without ejected targets, or all if every one is ejected. */
    private static List<Route> withoutEjected(List<Route> candidates) {
        List<Route> inUse = filter(candidates, route -> !route.isEjected());
        return inUse.isEmpty() ? candidates : inUse;
    }

    private Optional<Route> choose(List<Route> candidates, int liveEntries, long nowMs) {
        List<Route> withCapacity = filter(candidates, route -> route.hasCapacity(liveEntries));
        List<Route> withFreeSlot =
                filter(withCapacity, route -> route.hasFreeSlot(liveEntries, nowMs));
        List<Route> startedUp = filter(withFreeSlot, route -> passesSlowStart(route, nowMs));
        List<Route> inOwnZone = filter(startedUp, route -> route.view().zone().equals(mOwnZone));
        for (List<Route> tier : List.of(inOwnZone, startedUp, withFreeSlot, withCapacity)) {
            if (!tier.isEmpty()) {
                return Optional.of(betterOfTwo(tier, nowMs));
            }
        }
        return Optional.empty();
    }

    private boolean passesSlowStart(Route route, long nowMs) {
        double share = route.statistics().slowStartShare(nowMs, mSettings.slowStartMs());
        return share >= 1 || mRandom.nextDouble() < share;
    }

    private Route betterOfTwo(List<Route> tier, long nowMs) {
        int first = mRandom.nextInt(tier.size());
        if (tier.size() == 1) {
            return tier.get(first);
        }
        int second = (first + 1 + mRandom.nextInt(tier.size() - 1)) % tier.size();
        Route firstRoute = tier.get(first);
        Route secondRoute = tier.get(second);
        return score(firstRoute, nowMs) <= score(secondRoute, nowMs) ? firstRoute : secondRoute;
    }

    private double score(Route route, long nowMs) {
        TargetStatistics statistics = route.statistics();
        double latency =
                Math.max(
                        1,
                        statistics.expectedLatencyMicros(mOutlierDetector.medianMicros(), nowMs));
        double loadPerSlot = (statistics.load(nowMs) + 1) / Math.max(1, route.view().slots());
        double success = Math.max(0.1, 1 - statistics.errorRate(nowMs));
        boolean inOwnZone = route.view().zone().equals(mOwnZone);
        return latency * loadPerSlot / success + (inOwnZone ? 0 : mSettings.zoneCostMicros());
    }

    private static ReservedRoute start(Route route, boolean probe, long nowMs) {
        route.statistics().recordStart(nowMs);
        return new ReservedRoute(route.view(), route.statistics(), probe);
    }

    private static List<Route> filter(List<Route> routes, Predicate<Route> condition) {
        return routes.stream().filter(condition).collect(Collectors.toList());
    }

    /** A request that is counted at its target. */
    record ReservedRoute(TargetView view, TargetStatistics statistics, boolean probe) {}
}
