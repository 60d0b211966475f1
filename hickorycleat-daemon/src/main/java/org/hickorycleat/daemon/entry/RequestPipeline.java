package org.hickorycleat.daemon.entry;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.hickorycleat.daemon.http.ProcessStatus;
import org.hickorycleat.logic.admission.AdmissionSettings;
import org.hickorycleat.logic.admission.DirectoryCapacitySource;
import org.hickorycleat.logic.admission.FairAdmissionControl;
import org.hickorycleat.logic.invocation.ManifestKeyMapping;
import org.hickorycleat.logic.membership.TargetCondition;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.logic.port.AgentLink;
import org.hickorycleat.logic.retry.CallerRequest;
import org.hickorycleat.logic.retry.LinkSession;
import org.hickorycleat.logic.retry.RequestCoordinator;
import org.hickorycleat.logic.routing.PowerOfTwoSelector;
import org.hickorycleat.logic.routing.RoutingSettings;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.ServiceSpecification;
import org.hickorycleat.model.manifest.TeamSpecification;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.CancelResult;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ServiceCapacity;

/** Processes requests in the entry: admission, routing, retries and outcomes. */
final class RequestPipeline {
    private final TargetDirectory mDirectory;
    private final PowerOfTwoSelector mSelector;
    private final FairAdmissionControl mAdmission;
    private final RequestCoordinator mCoordinator;

    RequestPipeline(
            ProcessId entry,
            Incarnation incarnation,
            ZoneId zone,
            AgentLink link,
            Scheduler scheduler) {
        long seed = incarnation.value();
        mDirectory = new TargetDirectory(scheduler);
        mSelector = new PowerOfTwoSelector(mDirectory, zone, RoutingSettings.DEFAULT, seed);
        mAdmission =
                new FairAdmissionControl(
                        new DirectoryCapacitySource(
                                mDirectory, target -> !mSelector.isEjected(target)),
                        scheduler,
                        AdmissionSettings.DEFAULT,
                        seed);
        mCoordinator =
                RequestCoordinator.builder(entry, incarnation)
                        .selector(mSelector)
                        .admission(mAdmission)
                        .link(link)
                        .scheduler(scheduler)
                        .build();
    }

    /** Submits a request; the future completes with its result. */
    CompletableFuture<InvokeResult> serve(CallerRequest request) {
        return mCoordinator.submit(request).toCompletionStage().toCompletableFuture();
    }

    /** Applies the key mappings, team weights and services of a manifest. */
    void configure(Manifest manifest) {
        for (ServiceSpecification service : manifest.services()) {
            mCoordinator.configureMapping(
                    service.name(),
                    ManifestKeyMapping.version(service),
                    ManifestKeyMapping.instances(service));
        }
        Map<TeamName, Integer> weights = new HashMap<>();
        for (TeamSpecification team : manifest.teams()) {
            weights.put(team.name(), team.weight());
        }
        mAdmission.setTeamWeights(weights);
        mAdmission.retainServices(serviceNames(manifest));
    }

    /** Handles a new session of an agent. */
    void onAgentOpened(Hello agent) {
        mDirectory.onAgentConnected(
                agent.process(), agent.zone(), agent.incarnation(), agent.session());
        mCoordinator.onLinkOpened(session(agent));
    }

    /** Handles the end of an agent's session. */
    void onAgentClosed(Hello agent) {
        mDirectory.onAgentDisconnected(agent.process(), agent.session());
        mCoordinator.onLinkClosed(session(agent));
    }

    /**
     * Handles a message from an agent; returns false if it needs further handling outside the
     * pipeline.
     */
    boolean onAgentMessage(Hello agent, Message message) {
        if (message instanceof InvokeResult result) {
            mCoordinator.onInvokeResult(session(agent), result);
            return true;
        }
        if (message instanceof CancelResult result) {
            mCoordinator.onCancelResult(session(agent), result);
            return true;
        }
        if (message instanceof AgentReport report) {
            mDirectory.onAgentReport(agent.process(), report);
        }
        return false;
    }

    /** Sets the number of live entries that share the targets. */
    void setLiveEntries(int entries) {
        mDirectory.setLiveEntries(entries);
    }

    /** Removes the state of expired targets; called periodically. */
    void removeExpired() {
        mDirectory.removeGoneTargets();
        mSelector.removeGoneTargets();
    }

    /** Returns the free slots of each service. */
    List<ServiceCapacity> capacities() {
        return mDirectory.dump().keySet().stream()
                .map(name -> new ServiceCapacity(name, mDirectory.freeSlots(name)))
                .toList();
    }

    /** Returns the target counts of each service for the process status. */
    List<ProcessStatus.Service> statuses() {
        long nowMs = mDirectory.nowMs();
        return mDirectory.dump().entrySet().stream()
                .map(entry -> status(entry.getKey(), entry.getValue(), nowMs))
                .toList();
    }

    /** Returns the state for the dump. */
    State state() {
        Map<ServiceName, List<TargetView>> targets = mDirectory.dump();
        return new State(
                targets,
                targets.keySet().stream()
                        .collect(Collectors.toMap(ServiceName::value, this::serviceState)),
                mDirectory.liveEntries(),
                mCoordinator.outstandingAttempts(),
                mCoordinator.unmatchedAnswers());
    }

    /**
     * State of the request pipeline.
     *
     * @param targets targets by service
     * @param services admission and routing by service
     * @param liveEntries entries that share the targets
     * @param outstandingAttempts attempts without a response
     * @param unmatchedAnswers responses that matched no request and were discarded
     */
    record State(
            Map<ServiceName, List<TargetView>> targets,
            Map<String, ServiceState> services,
            int liveEntries,
            int outstandingAttempts,
            long unmatchedAnswers) {}

    /** Admission and routing state of a service. */
    record ServiceState(Object admission, Object routes, List<TargetAddress> ejected) {}

    private static ProcessStatus.Service status(
            ServiceName service, List<TargetView> targets, long nowMs) {
        return new ProcessStatus.Service(
                service.value(),
                count(targets, TargetCondition.READY, nowMs),
                count(targets, TargetCondition.LEAVING, nowMs),
                count(targets, TargetCondition.SUSPECT, nowMs),
                targets.stream().mapToInt(target -> target.load().inFlight()).sum(),
                targets.stream().mapToInt(target -> target.load().queued()).sum());
    }

    private static long count(List<TargetView> targets, TargetCondition condition, long nowMs) {
        return targets.stream().filter(target -> target.condition(nowMs) == condition).count();
    }

    private ServiceState serviceState(ServiceName service) {
        List<TargetAddress> ejected =
                mDirectory.targets(service).stream()
                        .map(TargetView::address)
                        .filter(mSelector::isEjected)
                        .toList();
        return new ServiceState(mAdmission.status(service), mSelector.status(service), ejected);
    }

    private static Set<ServiceName> serviceNames(Manifest manifest) {
        return manifest.services().stream()
                .map(ServiceSpecification::name)
                .collect(Collectors.toSet());
    }

    private static LinkSession session(Hello agent) {
        return new LinkSession(agent.process(), agent.incarnation(), agent.session());
    }
}
