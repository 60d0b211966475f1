package org.hickorycleat.logic.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.model.message.TargetReport;
import org.hickorycleat.model.message.TargetState;

/** Targets of one service; one lock guards all of them. */
final class ServiceTargets {
    private final Map<TargetAddress, TargetView> mTargets = new LinkedHashMap<>();

    synchronized List<TargetView> views() {
        return List.copyOf(mTargets.values());
    }

    synchronized void applyReport(
            TargetAddress address,
            AgentSession session,
            TargetReport report,
            long reportMs,
            long nowMs) {
        mTargets.compute(
                address,
                (key, known) ->
                        known == null
                                ? create(key, session, report, reportMs, nowMs)
                                : known.withReport(
                                        session.zone(),
                                        session.incarnation(),
                                        report,
                                        reportMs,
                                        nowMs));
    }

    synchronized void update(TargetAddress address, UnaryOperator<TargetView> change) {
        mTargets.computeIfPresent(address, (key, view) -> change.apply(view));
    }

    synchronized void removeGone(long nowMs, long retentionMs) {
        mTargets.values()
                .removeIf(
                        view ->
                                view.condition(nowMs) == TargetCondition.GONE
                                        && nowMs - view.reportedMs() >= retentionMs);
    }

    private static TargetView create(
            TargetAddress address,
            AgentSession session,
            TargetReport report,
            long reportMs,
            long nowMs) {
        TargetState state = report.state();
        return new TargetView(
                address,
                session.zone(),
                session.incarnation(),
                state,
                report.slots(),
                report.connections(),
                report.load(),
                reportMs,
                nowMs,
                nowMs,
                true);
    }
}
