package org.hickorycleat.logic.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.hickorycleat.model.identifier.TeamName;

/** Usage of a service by one criticality class and its teams; guarded by the limiter's lock. */
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

    /** Returns the requests that would be in flight if all were admitted, by Little's law. */
    double demand(long nowMs) {
        return demand(mUsage, nowMs);
    }

    private double demand(Usage usage, long nowMs) {
        double admitted = mUsage.admitted(nowMs);
        double offered =
                admitted < 1 ? 0 : usage.arrivals(nowMs) / admitted * mUsage.meanInFlight(nowMs);
        return Math.max(usage.inFlight(), offered);
    }

    /** Sets the limit of each team to its weighted max-min fair share of the class. */
    void assignFairLimits(double available, ToIntFunction<TeamName> weights, long nowMs) {
        mTeams.values().removeIf(team -> team.usage().isIdle(nowMs));
        mTeams.forEach(
                (name, team) -> team.update(weights.applyAsInt(name), demand(team.usage(), nowMs)));
        double share = fairSharePerWeight(available);
        mTeams.values().forEach(team -> team.setFairLimit(share * team.weight()));
    }

    /** Returns the fair share per unit of weight; infinite if all demands can be met. */
    private double fairSharePerWeight(double available) {
        List<TeamUsage> ascending =
                mTeams.values().stream()
                        .sorted(Comparator.comparingDouble(team -> team.demand() / team.weight()))
                        .toList();
        double remaining = available;
        double weight = ascending.stream().mapToInt(TeamUsage::weight).sum();
        for (TeamUsage team : ascending) {
            double share = remaining / weight;
            if (team.demand() > share * team.weight()) {
                return share;
            }
            remaining -= team.demand();
            weight -= team.weight();
        }
        return Double.POSITIVE_INFINITY;
    }
}
