package org.hickorycleat.logic.membership;

import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.TargetReport;
import org.hickorycleat.model.message.TargetState;

/**
 * A target as an entry sees it.
 *
 * @param address the target and its agent
 * @param zone availability zone of the agent
 * @param incarnation incarnation of the agent
 * @param announced state that the target announced
 * @param slots requests that it runs at once
 * @param connections connections that it accepts
 * @param load latest load signal, from a report or an answer
 * @param loadMs time of the load signal, corrected for the delay of late reports
 * @param reportedMs arrival of the latest report
 * @param upSinceMs time at which it came up or came back
 * @param connected whether its agent is connected and reports it
 */
public record TargetView(
        TargetAddress address,
        ZoneId zone,
        Incarnation incarnation,
        TargetState announced,
        int slots,
        int connections,
        LoadSignal load,
        long loadMs,
        long reportedMs,
        long upSinceMs,
        boolean connected) {
    /** Time without a report after which a target gets no new work. */
    public static final long SUSPECT_AFTER_MS = 2_000;

    /** Time without a report after which a target is gone. */
    public static final long GONE_AFTER_MS = 10_000;

    /** Returns the condition at a time. */
    public TargetCondition condition(long nowMs) {
        long silentMs = nowMs - reportedMs;
        if (!connected || silentMs >= GONE_AFTER_MS) {
            return TargetCondition.GONE;
        }
        if (announced == TargetState.LEAVING) {
            return TargetCondition.LEAVING;
        }
        return silentMs >= SUSPECT_AFTER_MS ? TargetCondition.SUSPECT : TargetCondition.READY;
    }

    /** Returns the view after a report; a target that was gone or leaving counts as come back. */
    TargetView reported(
            ZoneId newZone,
            Incarnation newIncarnation,
            TargetReport report,
            long reportMs,
            long nowMs) {
        TargetCondition before = condition(nowMs);
        boolean back =
                !incarnation.equals(newIncarnation)
                        || before == TargetCondition.GONE
                        || before == TargetCondition.LEAVING;
        boolean newer = back || reportMs >= loadMs;
        return new TargetView(
                address,
                newZone,
                newIncarnation,
                report.state(),
                report.slots(),
                report.connections(),
                newer ? report.load() : load,
                newer ? reportMs : loadMs,
                nowMs,
                back ? nowMs : upSinceMs,
                true);
    }

    TargetView withLoad(LoadSignal newLoad, long nowMs) {
        return new TargetView(
                address,
                zone,
                incarnation,
                announced,
                slots,
                connections,
                newLoad,
                nowMs,
                reportedMs,
                upSinceMs,
                connected);
    }

    TargetView withAnnounced(TargetState state) {
        return new TargetView(
                address,
                zone,
                incarnation,
                state,
                slots,
                connections,
                load,
                loadMs,
                reportedMs,
                upSinceMs,
                connected);
    }

    TargetView disconnected() {
        return new TargetView(
                address,
                zone,
                incarnation,
                announced,
                slots,
                connections,
                load,
                loadMs,
                reportedMs,
                upSinceMs,
                false);
    }
}
