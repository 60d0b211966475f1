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
 * @param slots maximum number of running requests
 * @param connections maximum number of connections
 * @param load latest load signal, from a report or a response
 * @param loadMs time of the load signal in milliseconds, corrected for the delay of late reports
 * @param reportedMs time of arrival of the latest report in milliseconds
 * @param upSinceMs time in milliseconds at which it became available or returned
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
    /** Time without a report after which a target receives no new requests. */
    public static final long SUSPECT_AFTER_MS = 2_000;

    /** Time without a report after which a target counts as gone. */
    public static final long GONE_AFTER_MS = 10_000;

    /** Returns the condition at the given time. */
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

    /** Returns the view after a report; a target that was gone or leaving counts as returned. */
    TargetView withReport(
            ZoneId newZone,
            Incarnation newIncarnation,
            TargetReport report,
            long reportMs,
            long nowMs) {
        TargetCondition before = condition(nowMs);
        boolean returned =
                !incarnation.equals(newIncarnation)
                        || before == TargetCondition.GONE
                        || before == TargetCondition.LEAVING;
        boolean newer = returned || reportMs >= loadMs;
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
                returned ? nowMs : upSinceMs,
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
