package org.hickorycleat.logic.membership;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.routing.TargetAddress;
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

/** Simulates an agent with one target of 8 slots and 64 connections that reports to a directory. */
public final class AgentFixture {
    public static final ServiceName SERVICE = new ServiceName("booking");
    public static final LoadSignal IDLE = new LoadSignal(0, 0, 10_000);

    private final TargetDirectory mDirectory;
    private final int mNumber;
    private final ZoneId mZone;
    private long mIncarnation = 1;
    private long mSession;

    public AgentFixture(TargetDirectory directory, int number, String zone) {
        mDirectory = directory;
        mNumber = number;
        mZone = new ZoneId(zone);
    }

    public TargetAddress address() {
        return new TargetAddress(agent(), SERVICE, new InstanceNumber(mNumber));
    }

    public ProcessId agent() {
        return new ProcessId("agent-" + mNumber);
    }

    public SessionNumber session() {
        return new SessionNumber(mSession);
    }

    public Incarnation incarnation() {
        return new Incarnation(mIncarnation);
    }

    public boolean connect() {
        mSession++;
        return mDirectory.onAgentConnected(agent(), mZone, incarnation(), session());
    }

    public void restart() {
        mIncarnation++;
        connect();
    }

    public void disconnect() {
        mDirectory.onAgentDisconnected(agent(), session());
    }

    public void report() {
        report(TargetState.READY, IDLE, mDirectory.nowMs());
    }

    public void report(TargetState state, LoadSignal load, long uptimeMs) {
        TargetReport target =
                new TargetReport(SERVICE, new InstanceNumber(mNumber), state, 8, 64, load);
        report(uptimeMs, List.of(target));
    }

    public void report(long uptimeMs, List<TargetReport> targets) {
        ConfigurationVersion version = new ConfigurationVersion(1);
        mDirectory.onAgentReport(
                agent(), new AgentReport(uptimeMs, version, targets, Optional.empty()));
    }

    /** Returns the target as the directory sees it. */
    public TargetView view() {
        return mDirectory.targets(SERVICE).stream()
                .filter(view -> view.address().equals(address()))
                .findFirst()
                .orElseThrow();
    }

    public TargetCondition condition() {
        return view().condition(mDirectory.nowMs());
    }
}
