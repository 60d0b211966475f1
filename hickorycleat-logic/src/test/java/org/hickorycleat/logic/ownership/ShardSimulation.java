package org.hickorycleat.logic.ownership;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.lease.LeaseSettings;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.logic.placement.PlacementView;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.manifest.JobSpecification;
import org.hickorycleat.model.manifest.ServiceSpecification;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;

/** Simulation of two owners, three workers and a log on one test clock. */
final class ShardSimulation {
    static final LeaseSettings LEASES = new LeaseSettings(10_000, 3_000, 500, 60_000);
    static final OwnerSettings SETTINGS =
            new OwnerSettings(
                    LEASES,
                    3_000,
                    1_000,
                    50,
                    2_000,
                    100,
                    25,
                    24 * 3_600_000L,
                    5_000,
                    120_000,
                    5_000);
    private static final Resources UNIT = new Resources(1_000, 1_000, 0);

    final TestScheduler mScheduler = new TestScheduler();
    final FakeLog mLog = new FakeLog();
    final RunRecorder mRecorder = new RunRecorder();
    final List<SimulatedOwner> mOwners = new ArrayList<>();
    final List<SimulatedAgent> mAgents = new ArrayList<>();
    final List<FakeWorker> mWorkers = new ArrayList<>();
    private final Map<TaskId, JobSpecification> mJobs = new LinkedHashMap<>();
    private int mInstances;
    private long mVersion;
    private int mEvictions;

    ShardSimulation(long seed) {
        this(seed, new FirstFitPolicy());
    }

    ShardSimulation(long seed, PlacementPolicy policy) {
        Random random = new Random(seed);
        for (String name : List.of("owner-a", "owner-b")) {
            mOwners.add(
                    new SimulatedOwner(name, mScheduler, mLog, random, SETTINGS, evicting(policy)));
        }
        for (int index = 0; index < 3; index++) {
            FakeWorker worker =
                    new FakeWorker(
                            "worker-" + index, UNIT.plus(UNIT), mScheduler, mRecorder, random);
            mWorkers.add(worker);
            mAgents.add(
                    new SimulatedAgent(
                            "agent-" + index, worker, mOwners, mScheduler, random, LEASES));
        }
        mOwners.forEach(
                owner ->
                        owner.setAgentSender(
                                (agent, message) ->
                                        mAgents.stream()
                                                .filter(
                                                        candidate ->
                                                                candidate.process().equals(agent))
                                                .forEach(
                                                        candidate ->
                                                                candidate.receive(
                                                                        owner.process(),
                                                                        message))));
    }

    void advance(long durationMs) {
        for (long passed = 0; passed < durationMs; passed += SimulatedOwner.STEP_MS) {
            mScheduler.advanceTimeBy(SimulatedOwner.STEP_MS, TimeUnit.MILLISECONDS);
            mWorkers.forEach(FakeWorker::endDueRuns);
            mOwners.forEach(SimulatedOwner::step);
            mAgents.forEach(SimulatedAgent::step);
        }
    }

    long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    TaskId addJob(int number, long seconds) {
        JobSpecification job =
                new JobSpecification(
                        new JobName("job-" + number),
                        "r",
                        new TeamName("team"),
                        Criticality.NORMAL,
                        UNIT,
                        seconds,
                        Optional.empty(),
                        Optional.empty(),
                        true,
                        false);
        TaskId task = ManifestReconciler.taskId(job);
        mJobs.put(task, job);
        publish();
        return task;
    }

    void cancelJob(TaskId task) {
        if (mJobs.remove(task) != null) {
            publish();
        }
    }

    void setInstances(int instances) {
        mInstances = instances;
        publish();
    }

    Set<TaskId> requiredJobs() {
        return mJobs.keySet();
    }

    void requestEviction() {
        mEvictions++;
    }

    Optional<ShardOwner> currentOwner() {
        return mOwners.stream()
                .map(SimulatedOwner::owner)
                .filter(owner -> owner.dump().acting())
                .reduce(
                        (first, second) ->
                                first.dump().epoch().compareTo(second.dump().epoch()) > 0
                                        ? first
                                        : second);
    }

    SimulatedOwner currentOwnerProcess() {
        return mOwners.stream()
                .filter(owner -> owner.owner().dump().acting())
                .findAny()
                .orElseThrow();
    }

    SimulatedAgent agentOf(TaskExplanation task) {
        String worker = task.record().get().attempt().get().worker().value();
        return mAgents.get(Integer.parseInt(worker.substring("worker-".length())));
    }

    private void publish() {
        mVersion++;
        ShardManifest manifest =
                new ShardManifest(
                        new ConfigurationVersion(mVersion),
                        List.copyOf(mJobs.values()),
                        mInstances == 0 ? List.of() : List.of(service()),
                        Map.of());
        mOwners.forEach(owner -> owner.changeManifest(manifest));
    }

    private ServiceDemand service() {
        return new ServiceDemand(
                new ServiceSpecification(
                        new ServiceName("service"),
                        new TeamName("team"),
                        Criticality.CRITICAL,
                        mInstances,
                        8,
                        64,
                        100,
                        List.of(),
                        Set.of("GET")),
                UNIT);
    }

    /**
     * Wraps a policy so that it also evicts the first running batch task whenever a test requests
     * an eviction.
     */
    private PlacementPolicy evicting(PlacementPolicy policy) {
        return (view, nowMs) -> {
            List<PlacementDecision> decisions = new ArrayList<>(policy.decide(view, nowMs));
            if (mEvictions > 0) {
                view.placedTasks().stream()
                        .filter(task -> task.phase() == PlacementView.Phase.RUNNING)
                        .filter(task -> task.specification().service().isEmpty())
                        .findFirst()
                        .ifPresent(
                                task -> {
                                    mEvictions--;
                                    decisions.add(
                                            new PlacementDecision.Evict(
                                                    task.specification().task(), "test"));
                                });
            }
            return decisions;
        };
    }
}
