package org.hickorycleat.logic.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.hickorycleat.model.identifier.TeamName;

/** A criticality class of one service with its teams; guarded by the limiter's lock. */
final class ClassUsage {
    private final Usage mUsage;
    private final Map<TeamName, TeamUsage> mTeams = new HashMap<>();

    ClassUsage(long nowMs) {
        mUsage = new Usage(nowMs);
    }

    Usage usage() {
        return mUsage;
    }

    TeamUsage team(TeamName team, int weight, long nowMs) {
        return mTeams.computeIfAbsent(team, key -> new TeamUsage(weight, nowMs));
    }

    int teams() {
        return mTeams.size();
    }

    /** Requests that would be in flight if all were admitted, by Little's law. */
    double demand(long nowMs) {
        return demand(mUsage, nowMs);
    }

    private double demand(Usage usage, long nowMs) {
        double admitted = mUsage.admitted(nowMs);
        double offered = admitted < 1 ? 0 : usage.arrivals(nowMs) / admitted * mUsage.mean(nowMs);
        return Math.max(usage.inFlight(), offered);
    }

    /** Divides the class among its teams: max-min fair by weight over their demands. */
    void divide(double available, ToIntFunction<TeamName> weights, long nowMs) {
        mTeams.values().removeIf(team -> team.usage().isIdle(nowMs));
        mTeams.forEach(
                (name, team) -> team.update(weights.applyAsInt(name), demand(team.usage(), nowMs)));
        double level = waterLevel(available);
        mTeams.values().forEach(team -> team.setFairLimit(level * team.weight()));
    }

    /** Returns the share per unit of weight; infinite if all demands can be met. */
    private double waterLevel(double available) {
        List<TeamUsage> ascending =
                mTeams.values().stream()
                        .sorted(Comparator.comparingDouble(team -> team.demand() / team.weight()))
                        .toList();
        double left = available;
        double weight = ascending.stream().mapToInt(TeamUsage::weight).sum();
        for (TeamUsage team : ascending) {
            double level = left / weight;
            if (team.demand() > level * team.weight()) {
                return level;
            }
            left -= team.demand();
            weight -= team.weight();
        }
        return Double.POSITIVE_INFINITY;
    }
}
