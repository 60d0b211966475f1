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
        mSimulation.instances(1);
        mSimulation.advance(3_000);
        for (FaultStep step : steps) {
            apply(step);
            mSimulation.advance(step.nextMs());
        }
        mSimulation.advance(FaultStep.LONGEST_MS);
    }

    private void apply(FaultStep step) {
        ShardSimulation simulation = mSimulation;
        SimulatedOwner owner = simulation.mOwners.get(step.index() % 2);
        FakeWorker worker = simulation.mWorkers.get(step.index() % 3);
        SimulatedAgent agent = simulation.mAgents.get(step.index() % 3);
        switch (step.fault()) {
            case NONE -> {}
            case PAUSE_OWNER ->
                    during(step, () -> owner.mPaused = true, () -> owner.mPaused = false);
            case RESTART_OWNER -> restart(owner);
            case LOSE_APPEND_ANSWERS ->
                    during(
                            step,
                            () -> simulation.mLog.mLosesAnswers = true,
                            () -> simulation.mLog.mLosesAnswers = false);
            case SLOW_LOG ->
                    during(
                            step,
                            () -> simulation.mLog.mSlow = true,
                            () -> simulation.mLog.mSlow = false);
            case LOG_DOWN ->
                    during(
                            step,
                            () -> simulation.mLog.mDown = true,
                            () -> simulation.mLog.mDown = false);
            case CUT_LOG -> during(step, () -> owner.mLogCut = true, () -> owner.mLogCut = false);
            case EXPIRE_LOG -> simulation.mLog.expire();
            case RESTART_WORKER -> worker.restart();
            case WORKER_UNREACHABLE ->
                    during(
                            step,
                            () -> worker.mUnreachable = true,
                            () -> worker.mUnreachable = false);
            case LOSE_WORKER_ANSWERS ->
                    during(
                            step,
                            () -> worker.mLosesAnswers = true,
                            () -> worker.mLosesAnswers = false);
            case RESTART_AGENT -> agent.restart();
            case PAUSE_AGENT -> during(step, agent::pause, agent::resume);
            case SLOW_CONNECTIONS ->
                    during(step, () -> agent.mSlow = true, () -> agent.mSlow = false);
            case CUT_CONNECTION -> during(step, () -> agent.cut(owner), () -> agent.restore(owner));
            case CUT_AGENT ->
                    during(
                            step,
                            () -> simulation.mOwners.forEach(agent::cut),
                            () -> simulation.mOwners.forEach(agent::restore));
            case ADD_JOB -> addJob();
            case CANCEL_JOB -> simulation.cancelJob(mJobs.get(step.index() % mJobs.size()));
            case EVICT -> simulation.evictOne();
        }
    }

    private void addJob() {
        int number = mJobs.size();
        mJobs.add(mSimulation.addJob(number, 5 + number * 7L % 40));
    }

    private void restart(SimulatedOwner owner) {
        mSimulation.mAgents.forEach(agent -> agent.cut(owner));
        owner.restart();
        mSimulation.mAgents.forEach(agent -> agent.restore(owner));
    }

    private void during(FaultStep step, Runnable begin, Runnable end) {
        begin.run();
        Disposable unused =
                mSimulation.mScheduler.scheduleDirect(
                        end, step.durationMs(), TimeUnit.MILLISECONDS);
    }
}
