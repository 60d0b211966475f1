package org.hickorycleat.logic.membership;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.TargetReport;
import org.hickorycleat.model.message.TargetState;

/**
 * Directory of the targets known to an entry, updated by events of the connections to agents.
 *
 * <p>Sharded by service. Events of one agent are serialized; the lock of the agent is taken before
 * the lock of a service.
 */
public final class TargetDirectory {
    /** Gone targets remain in the state dump for this time after their last report. */
    private static final long GONE_RETENTION_MS = 60_000;

    private final Scheduler mScheduler;
    private final ConcurrentMap<ProcessId, AgentSession> mAgents = new ConcurrentHashMap<>();
    private final ConcurrentMap<ServiceName, ServiceTargets> mTargets = new ConcurrentHashMap<>();
    private volatile int mLiveEntries = 1;

    /** Creates a directory that uses the clock of the scheduler. */
    public TargetDirectory(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /**
     * Records a connection; its targets become ready with the first report.
     *
     * @return false if a newer session of the agent is known; the connection is then ignored
     */
    public boolean onAgentConnected(
            ProcessId agent, ZoneId zone, Incarnation incarnation, SessionNumber session) {
        AgentSession latest =
                mAgents.compute(
                        agent,
                        (key, known) -> {
                            if (known != null && !known.isOlderThan(incarnation, session)) {
                                return known;
                            }
                            if (known != null) {
                                known.targets().forEach(this::markDisconnected);
                            }
                            return AgentSession.opened(zone, incarnation, session, nowMs());
                        });
        return latest.connected()
                && latest.incarnation().equals(incarnation)
                && latest.session().equals(session);
    }

    /** Updates the targets of a connected agent; ignores a report without a connection. */
    public void onAgentReport(ProcessId agent, AgentReport report) {
        long nowMs = nowMs();
        mAgents.computeIfPresent(
                agent,
                (key, session) ->
                        session.connected() ? applyReport(agent, session, report, nowMs) : session);
    }

    /** Marks the targets of the agent as gone unless a newer session is open. */
    public void onAgentDisconnected(ProcessId agent, SessionNumber session) {
        mAgents.computeIfPresent(
                agent,
                (key, known) -> {
                    if (!known.session().equals(session)) {
                        return known;
                    }
                    known.targets().forEach(this::markDisconnected);
                    return known.disconnected(nowMs());
                });
    }

    /** Records the load signal of a response; ignored if the target has restarted since. */
    public void onLoadSignal(TargetAddress target, Incarnation incarnation, LoadSignal load) {
        long nowMs = nowMs();
        update(
                target,
                view -> view.incarnation().equals(incarnation) ? view.withLoad(load, nowMs) : view);
    }

    /** Records that the agent rejected work because the target is leaving. */
    public void onTargetLeaving(TargetAddress target, Incarnation incarnation) {
        update(
                target,
                view ->
                        view.incarnation().equals(incarnation)
                                ? view.withAnnounced(TargetState.LEAVING)
                                : view);
    }

    /** Sets the number of entries, this one included, that share the slots. */
    public void setLiveEntries(int liveEntries) {
        mLiveEntries = Math.max(1, liveEntries);
    }

    /** Returns the number of entries that share the slots. */
    public int liveEntries() {
        return mLiveEntries;
    }

    /** Returns the targets of a service in every condition. */
    public List<TargetView> targets(ServiceName service) {
        ServiceTargets serviceTargets = mTargets.get(service);
        return serviceTargets == null ? List.of() : serviceTargets.views();
    }

    /** Returns the targets of a service that accept new requests. */
    public List<TargetView> readyTargets(ServiceName service) {
        long nowMs = nowMs();
        List<TargetView> ready = new ArrayList<>();
        for (TargetView view : targets(service)) {
            if (view.condition(nowMs) == TargetCondition.READY) {
                ready.add(view);
            }
        }
        return ready;
    }

    /** Returns the free slots of the ready targets of a service according to their latest load. */
    public int freeSlots(ServiceName service) {
        int free = 0;
        for (TargetView view : readyTargets(service)) {
            free += Math.max(0, view.slots() - view.load().inFlight());
        }
        return free;
    }

    /** Removes agents and targets that have been gone for a minute; to be called periodically. */
    public void removeGoneTargets() {
        long nowMs = nowMs();
        mTargets.values()
                .forEach(serviceTargets -> serviceTargets.removeGone(nowMs, GONE_RETENTION_MS));
        mAgents.values()
                .removeIf(
                        session ->
                                !session.connected()
                                        && nowMs - session.lastContactMs() >= GONE_RETENTION_MS);
    }

    /** Returns all targets by service for the state dump. */
    public Map<ServiceName, List<TargetView>> dump() {
        Map<ServiceName, List<TargetView>> dump = new TreeMap<>();
        mTargets.forEach((service, serviceTargets) -> dump.put(service, serviceTargets.views()));
        return dump;
    }

    /** Returns the current time of the scheduler in milliseconds. */
    public long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    private AgentSession applyReport(
            ProcessId agent, AgentSession session, AgentReport report, long nowMs) {
        long offsetMs = nowMs - report.uptimeMs();
        List<TargetAddress> reported = new ArrayList<>();
        for (TargetReport target : report.targets()) {
            reported.add(new TargetAddress(agent, target.service(), target.instance()));
        }
        AgentSession updated = session.withReport(offsetMs, List.copyOf(reported), nowMs);
        long reportMs = report.uptimeMs() + updated.minimumOffsetMs();
        for (int i = 0; i < reported.size(); i++) {
            TargetReport target = report.targets().get(i);
            mTargets.computeIfAbsent(target.service(), service -> new ServiceTargets())
                    .applyReport(reported.get(i), updated, target, reportMs, nowMs);
        }
        for (TargetAddress previous : session.targets()) {
            if (!reported.contains(previous)) {
                markDisconnected(previous);
            }
        }
        return updated;
    }

    private void markDisconnected(TargetAddress target) {
        update(target, TargetView::disconnected);
    }

    private void update(TargetAddress target, UnaryOperator<TargetView> change) {
        ServiceTargets serviceTargets = mTargets.get(target.service());
        if (serviceTargets != null) {
            serviceTargets.update(target, change);
        }
    }
}
