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

/** Routing state of one service, under one lock. */
final class RouteShard {
    private final RoutingSettings mSettings;
    private final ZoneId mOwnZone;
    private final SplittableRandom mRandom;
    private final OutlierDetector mOutliers;
    private final Map<TargetAddress, TargetTrack> mTracks = new HashMap<>();

    RouteShard(RoutingSettings settings, ZoneId ownZone, long seed) {
        mSettings = settings;
        mOwnZone = ownZone;
        mRandom = new SplittableRandom(seed);
        mOutliers = new OutlierDetector(settings);
    }

    /** Chooses among the eligible ones of the ready targets and counts the request. */
    synchronized Optional<Reserved> reserve(
            List<TargetView> ready, Set<TargetAddress> eligible, int liveEntries, long nowMs) {
        List<Route> routes = routes(ready, nowMs);
        mOutliers.review(routes, nowMs);
        List<Route> candidates = filter(routes, route -> eligible.contains(route.view().address()));
        Optional<Route> probe =
                candidates.stream()
                        .filter(route -> isProbeDue(route, nowMs) && route.hasRoom(liveEntries))
                        .findFirst();
        if (probe.isPresent()) {
            probe.get().track().ejection().probeStarted();
            return Optional.of(start(probe.get(), true, nowMs));
        }
        return choose(inUse(candidates), liveEntries, nowMs)
                .map(route -> start(route, false, nowMs));
    }

    /** Ends a request and takes in what its result says about the target. */
    synchronized void release(Reserved reserved, AnswerKind kind, long latencyMicros, long nowMs) {
        TargetTrack track = reserved.track();
        track.end();
        track.answered(kind, latencyMicros, nowMs);
        mOutliers.answered(track, kind, reserved.probe(), latencyMicros, nowMs);
    }

    synchronized boolean isEjected(TargetAddress target) {
        TargetTrack track = mTracks.get(target);
        return track != null && track.ejection().isEjected();
    }

    synchronized List<RouteStatus> status(long nowMs) {
        List<RouteStatus> status = new ArrayList<>();
        mTracks.forEach(
                (address, track) ->
                        status.add(
                                new RouteStatus(
                                        address,
                                        track.inFlight(),
                                        Math.round(track.latencyMicros()),
                                        track.errorRate(nowMs),
                                        track.ejection().reason(),
                                        track.ejection().untilMs())));
        return status;
    }

    /** Drops the state of targets that the directory has forgotten. */
    synchronized void retain(Set<TargetAddress> known) {
        mTracks.entrySet()
                .removeIf(
                        entry ->
                                !known.contains(entry.getKey())
                                        && entry.getValue().inFlight() == 0);
    }

    private List<Route> routes(List<TargetView> ready, long nowMs) {
        List<Route> routes = new ArrayList<>(ready.size());
        for (TargetView view : ready) {
            TargetTrack track = mTracks.get(view.address());
            if (track == null || !track.incarnation().equals(view.incarnation())) {
                track = new TargetTrack(view);
                mTracks.put(view.address(), track);
            }
            track.observe(view, nowMs);
            routes.add(new Route(view, track));
        }
        return routes;
    }

    /** Requests that a paused target still holds serve as the probe. */
    private static boolean isProbeDue(Route route, long nowMs) {
        Ejection ejection = route.track().ejection();
        boolean waiting =
                ejection.reason() == EjectionReason.PAUSED && route.track().inFlight() > 0;
        return ejection.isProbeDue(nowMs) && !waiting;
    }

    /** Leaves out ejected targets unless no other is eligible. */
    private static List<Route> inUse(List<Route> candidates) {
        List<Route> inUse = filter(candidates, route -> !route.isEjected());
        return inUse.isEmpty() ? candidates : inUse;
    }

    private Optional<Route> choose(List<Route> candidates, int liveEntries, long nowMs) {
        List<Route> roomy = filter(candidates, route -> route.hasRoom(liveEntries));
        List<Route> free = filter(roomy, route -> route.hasFreeSlot(liveEntries, nowMs));
        List<Route> warm = filter(free, route -> passesSlowStart(route, nowMs));
        List<Route> near = filter(warm, route -> route.view().zone().equals(mOwnZone));
        for (List<Route> tier : List.of(near, warm, free, roomy)) {
            if (!tier.isEmpty()) {
                return Optional.of(betterOfTwo(tier, nowMs));
            }
        }
        return Optional.empty();
    }

    private boolean passesSlowStart(Route route, long nowMs) {
        double ramp = route.track().ramp(nowMs, mSettings.slowStartMs());
        return ramp >= 1 || mRandom.nextDouble() < ramp;
    }

    private Route betterOfTwo(List<Route> tier, long nowMs) {
        int first = mRandom.nextInt(tier.size());
        if (tier.size() == 1) {
            return tier.get(first);
        }
        int second = (first + 1 + mRandom.nextInt(tier.size() - 1)) % tier.size();
        Route one = tier.get(first);
        Route other = tier.get(second);
        return score(one, nowMs) <= score(other, nowMs) ? one : other;
    }

    private double score(Route route, long nowMs) {
        TargetTrack track = route.track();
        double latency = Math.max(1, track.expectedLatencyMicros(mOutliers.medianMicros(), nowMs));
        double waiting = (track.load(nowMs) + 1) / Math.max(1, route.view().slots());
        double success = Math.max(0.1, 1 - track.errorRate(nowMs));
        boolean near = route.view().zone().equals(mOwnZone);
        return latency * waiting / success + (near ? 0 : mSettings.zoneCostMicros());
    }

    private static Reserved start(Route route, boolean probe, long nowMs) {
        route.track().start(nowMs);
        return new Reserved(route.view(), route.track(), probe);
    }

    private static List<Route> filter(List<Route> routes, Predicate<Route> condition) {
        return routes.stream().filter(condition).collect(Collectors.toList());
    }

    /** A counted request. */
    record Reserved(TargetView view, TargetTrack track, boolean probe) {}
}
