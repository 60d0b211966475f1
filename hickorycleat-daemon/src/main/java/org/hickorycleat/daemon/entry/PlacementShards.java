package org.hickorycleat.daemon.entry;

import io.reactivex.rxjava3.core.Scheduler;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.hickorycleat.daemon.http.AdminTaskStatus;
import org.hickorycleat.daemon.http.ProcessStatus;
import org.hickorycleat.logic.ownership.OwnerIdentity;
import org.hickorycleat.logic.ownership.ShardDump;
import org.hickorycleat.logic.ownership.ShardEvent;
import org.hickorycleat.logic.ownership.ShardManifest;
import org.hickorycleat.logic.ownership.ShardOwner;
import org.hickorycleat.logic.ownership.TaskExplanation;
import org.hickorycleat.logic.port.AgentLink;
import org.hickorycleat.logic.port.LogService;
import org.hickorycleat.logic.scheduling.SchedulingPolicy;
import org.hickorycleat.model.configuration.AcceptedConfiguration;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.StreamName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.JobSpecification;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.TeamSpecification;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.WorkerSummary;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/** Runs the placement shards for which this entry is the owner or a standby. */
final class PlacementShards implements AutoCloseable {
    private static final char RUN_SEPARATOR = '#';

    private final OwnerIdentity mSelf;
    private final LogService mLog;
    private final AgentLink mAgents;
    private final Scheduler mScheduler;
    private final Map<ShardNumber, ShardRunner> mRunners = new ConcurrentHashMap<>();
    private final Set<Hello> mConnectedAgents = new HashSet<>();
    private List<TaskId> mJobs = List.of();

    PlacementShards(OwnerIdentity self, LogService log, AgentLink agents, Scheduler scheduler) {
        mSelf = self;
        mLog = log;
        mAgents = agents;
        mScheduler = scheduler;
    }

    /** Applies a configuration to all shards. */
    synchronized void configure(AcceptedConfiguration configuration) {
        Manifest manifest = configuration.manifest();
        int shards = manifest.placementShards();
        for (int number = 0; number < shards; number++) {
            ShardNumber shard = new ShardNumber(number);
            mRunners.computeIfAbsent(shard, this::startRunner)
                    .handle(
                            new ShardEvent.ManifestChanged(
                                    shardManifest(configuration, shard, shards)));
        }
        mJobs = manifest.jobs().stream().map(PlacementShards::taskId).toList();
    }

    /**
     * Passes a worker report to its shard; the first report of a session also signals the agent's
     * connection.
     */
    synchronized void onAgentReport(Hello agent, AgentReport report) {
        if (report.worker().isEmpty()) {
            return;
        }
        WorkerSummary worker = report.worker().get();
        runnerOf(worker).ifPresent(runner -> runner.onAgentReport(report));
        boolean isFirstReport = mConnectedAgents.add(agent);
        runnerOf(worker)
                .ifPresent(
                        runner ->
                                runner.handle(
                                        isFirstReport
                                                ? new ShardEvent.AgentConnected(
                                                        agent.process(), agent.zone(), worker)
                                                : new ShardEvent.WorkerReported(
                                                        agent.process(), worker)));
        if (runnerOf(worker).isEmpty()) {
            mConnectedAgents.remove(agent);
        }
    }

    /**
     * Passes a task message to all shards; a shard ignores messages about tasks of other shards.
     */
    void onAgentMessage(Hello agent, Message message) {
        mRunners.values()
                .forEach(
                        runner ->
                                runner.handle(
                                        new ShardEvent.MessageReceived(agent.process(), message)));
    }

    /** Notifies the shards that an agent's session closed. */
    synchronized void onAgentClosed(Hello agent) {
        if (mConnectedAgents.remove(agent)) {
            mRunners.values()
                    .forEach(
                            runner ->
                                    runner.handle(
                                            new ShardEvent.AgentDisconnected(agent.process())));
        }
    }

    /**
     * Stops ownership claims, renewals and placement decisions so that other entries take over the
     * shards.
     */
    void drain() {
        mRunners.values().forEach(runner -> runner.handle(new ShardEvent.Draining()));
    }

    /** Returns the state of each shard. */
    List<ShardDump> dump() {
        return mRunners.values().stream().map(ShardRunner::dump).toList();
    }

    /** Returns the shards for the process status. */
    List<ProcessStatus.Shard> statuses() {
        return dump().stream().map(PlacementShards::status).toList();
    }

    /** Returns the jobs of the manifest in the shards that this entry owns. */
    List<AdminTaskStatus> jobs() {
        List<TaskId> jobs;
        synchronized (this) {
            jobs = mJobs;
        }
        List<AdminTaskStatus> statuses = new ArrayList<>();
        for (ShardRunner runner : mRunners.values()) {
            if (runner.dump().acting()) {
                jobs.stream()
                        .map(runner::explain)
                        .filter(PlacementShards::isKnown)
                        .map(AdminTaskStatusFactory::of)
                        .forEach(statuses::add);
            }
        }
        return statuses;
    }

    /** Returns the explanation of a task; empty if no shard has a record of it. */
    Optional<TaskExplanation> explain(TaskId task) {
        return mRunners.values().stream()
                .map(runner -> runner.explain(task))
                .filter(PlacementShards::isKnown)
                .findFirst();
    }

    @Override
    public void close() {
        mRunners.values().forEach(ShardRunner::close);
    }

    private static boolean isKnown(TaskExplanation explanation) {
        return explanation.record().isPresent() || explanation.result().isPresent();
    }

    private static ProcessStatus.Shard status(ShardDump shard) {
        return new ProcessStatus.Shard(
                shard.shard().value(),
                shard.owner().map(owner -> owner.process().value()).orElse("none"),
                shard.epoch().value(),
                shard.placed(),
                shard.pending());
    }

    private Optional<ShardRunner> runnerOf(WorkerSummary worker) {
        int shards = mRunners.size();
        return shards == 0
                ? Optional.empty()
                : Optional.ofNullable(mRunners.get(shardOf(worker.worker().value(), shards)));
    }

    private ShardRunner startRunner(ShardNumber shard) {
        SchedulingPolicy policy = new SchedulingPolicy(PlacementShards::jobOf);
        ShardOwner owner = ShardOwner.builder(shard, mSelf, policy).scheduler(mScheduler).build();
        ShardRunner runner =
                new ShardRunner(
                        new StreamName("placement-" + shard),
                        owner,
                        mLog,
                        mAgents,
                        new TaskReportObserver(policy, InstantSource.system()),
                        mScheduler);
        runner.start();
        return runner;
    }

    private static ShardManifest shardManifest(
            AcceptedConfiguration configuration, ShardNumber shard, int shards) {
        Manifest manifest = configuration.manifest();
        List<JobSpecification> jobs =
                manifest.jobs().stream()
                        .filter(job -> shardOf(taskId(job).value(), shards).equals(shard))
                        .toList();
        Map<TeamName, Resources> quotas = new HashMap<>();
        for (TeamSpecification team : manifest.teams()) {
            quotas.put(team.name(), team.quota());
        }
        return new ShardManifest(configuration.version(), jobs, List.of(), quotas);
    }

    /** Returns the job name without the run, because estimates are shared by all runs of a job. */
    private static JobName jobOf(TaskSpecification task) {
        String text = task.task().value();
        int separator = text.lastIndexOf(RUN_SEPARATOR);
        return new JobName(separator > 0 ? text.substring(0, separator) : text);
    }

    private static TaskId taskId(JobSpecification job) {
        return new TaskId(job.name().value() + RUN_SEPARATOR + job.run());
    }

    private static ShardNumber shardOf(String name, int shards) {
        return new ShardNumber(Math.floorMod(name.hashCode(), shards));
    }
}
