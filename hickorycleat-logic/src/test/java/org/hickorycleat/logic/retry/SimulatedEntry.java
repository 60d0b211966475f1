package org.hickorycleat.logic.retry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.hickorycleat.logic.admission.Admission;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.logic.routing.TargetReservation;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;

/**
 * Simulates one incarnation of an entry that chooses targets at random and sometimes rejects
 * requests.
 */
final class SimulatedEntry {
    /** State of a connection at both ends, which detect its loss at different times. */
    static final class Connection {
        final LinkSession mSession;
        final SimulatedAgent mAgent;
        boolean mBroken;
        boolean mOpenAtEntry;

        Connection(LinkSession session, SimulatedAgent agent) {
            mSession = session;
            mAgent = agent;
        }
    }

    final ProcessId mId;
    final Incarnation mIncarnation;
    final RequestCoordinator mCoordinator;
    final List<RequestOracle.CallRecord> mCalls = new ArrayList<>();
    final Map<ProcessId, Connection> mConnections = new HashMap<>();
    RequestPipelineSimulation.Mapping mMapping =
            new RequestPipelineSimulation.Mapping(new ConfigurationVersion(0), List.of());
    boolean mAlive = true;
    int mReservations;
    int mPermits;
    private final RequestPipelineSimulation mSimulation;

    SimulatedEntry(ProcessId id, Incarnation incarnation, RequestPipelineSimulation simulation) {
        mId = id;
        mIncarnation = incarnation;
        mSimulation = simulation;
        mCoordinator =
                RequestCoordinator.builder(id, incarnation)
                        .selector((service, eligible) -> reserve(eligible))
                        .admission((service, criticality, team, remainingMs) -> admit())
                        .link((agent, message) -> simulation.send(this, agent, message))
                        .scheduler(simulation.mScheduler)
                        .retryBudget(new RetryBudget(1_000, 20))
                        .keyValidity(RequestPipelineSimulation.KEY_VALIDITY)
                        .shards(2)
                        .build();
    }

    void configure(RequestPipelineSimulation.Mapping mapping) {
        if (mapping.version().compareTo(mMapping.version()) >= 0) {
            mMapping = mapping;
            mCoordinator.configureMapping(
                    RequestPipelineSimulation.SERVICE, mapping.version(), mapping.instances());
        }
    }

    private Admission admit() {
        if (mSimulation.mRandom.nextInt(20) == 0) {
            return new Admission.Rejected(ResultCode.OVERLOADED, 1);
        }
        mPermits++;
        return new Admission.Admitted(() -> mPermits--);
    }

    private Optional<TargetReservation> reserve(Predicate<TargetAddress> eligible) {
        List<TargetAddress> targets =
                mSimulation.mAgents.stream().map(SimulatedAgent::address).filter(eligible).toList();
        if (targets.isEmpty()) {
            return Optional.empty();
        }
        mReservations++;
        int choice = mSimulation.mRandom.nextInt(targets.size());
        return Optional.of(new Reservation(this, targets.get(choice)));
    }

    private record Reservation(SimulatedEntry entry, TargetAddress target)
            implements TargetReservation {
        @Override
        public void release(ResultCode code, Optional<LoadSignal> load, long latencyMicros) {
            entry.mReservations--;
        }
    }
}
