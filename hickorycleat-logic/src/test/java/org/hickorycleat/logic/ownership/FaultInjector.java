package org.hickorycleat.logic.ownership;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.model.identifier.TaskId;

/** Applies fuzz steps to a simulation. */
final class FaultInjector {
    private final ShardSimulation mSimulation;
    private final List<TaskId> mJobs = new ArrayList<>();

    FaultInjector(ShardSimulation simulation) {
        mSimulation = simulation;
    }

    void run(List<FaultStep> steps) {
        for (int number = 0; number < 4; number++) {
            addJob();
        }
        mSimulation.setInstances(1);
        mSimulation.advance(3_000);
        for (FaultStep step : steps) {
            apply(step);
            mSimulation.advance(step.nextMs());
        }
        mSimulation.advance(FaultStep.MAXIMUM_DURATION_MS);
    }

    private void apply(FaultStep step) {
        ShardSimulation simulation = mSimulation;
        SimulatedOwner owner = simulation.mOwners.get(step.index() % 2);
        FakeWorker worker = simulation.mWorkers.get(step.index() % 3);
        SimulatedAgent agent = simulation.mAgents.get(step.index() % 3);
        switch (step.fault()) {
            case NONE -> {}
            case PAUSE_OWNER ->
                    applyTemporarily(step, () -> owner.mPaused = true, () -> owner.mPaused = false);
            case RESTART_OWNER -> restart(owner);
            case LOSE_APPEND_RESPONSES ->
                    applyTemporarily(
                            step,
                            () -> simulation.mLog.mLosesResponses = true,
                            () -> simulation.mLog.mLosesResponses = false);
            case SLOW_LOG ->
                    applyTemporarily(
                            step,
                            () -> simulation.mLog.mSlow = true,
                            () -> simulation.mLog.mSlow = false);
            case LOG_DOWN ->
                    applyTemporarily(
                            step,
                            () -> simulation.mLog.mDown = true,
                            () -> simulation.mLog.mDown = false);
            case DISCONNECT_OWNER_FROM_LOG ->
                    applyTemporarily(
                            step,
                            () -> owner.mLogDisconnected = true,
                            () -> owner.mLogDisconnected = false);
            case TRUNCATE_LOG -> simulation.mLog.truncateToSnapshot();
            case RESTART_WORKER -> worker.restart();
            case WORKER_UNREACHABLE ->
                    applyTemporarily(
                            step,
                            () -> worker.mUnreachable = true,
                            () -> worker.mUnreachable = false);
            case LOSE_WORKER_RESPONSES ->
                    applyTemporarily(
                            step,
                            () -> worker.mLosesResponses = true,
                            () -> worker.mLosesResponses = false);
            case RESTART_AGENT -> agent.restart();
            case PAUSE_AGENT -> applyTemporarily(step, agent::pause, agent::resume);
            case SLOW_CONNECTIONS ->
                    applyTemporarily(step, () -> agent.mSlow = true, () -> agent.mSlow = false);
            case DISCONNECT_AGENT_FROM_OWNER ->
                    applyTemporarily(
                            step, () -> agent.disconnect(owner), () -> agent.reconnect(owner));
            case DISCONNECT_AGENT ->
                    applyTemporarily(
                            step,
                            () -> simulation.mOwners.forEach(agent::disconnect),
                            () -> simulation.mOwners.forEach(agent::reconnect));
            case ADD_JOB -> addJob();
            case CANCEL_JOB -> simulation.cancelJob(mJobs.get(step.index() % mJobs.size()));
            case EVICT -> simulation.requestEviction();
        }
    }

    private void addJob() {
        int number = mJobs.size();
        mJobs.add(mSimulation.addJob(number, 5 + number * 7L % 40));
    }

    private void restart(SimulatedOwner owner) {
        mSimulation.mAgents.forEach(agent -> agent.disconnect(owner));
        owner.restart();
        mSimulation.mAgents.forEach(agent -> agent.reconnect(owner));
    }

    private void applyTemporarily(FaultStep step, Runnable begin, Runnable end) {
        begin.run();
        Disposable unused =
                mSimulation.mScheduler.scheduleDirect(
                        end, step.durationMs(), TimeUnit.MILLISECONDS);
    }
}
