package org.hickorycleat.logic.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hickorycleat.logic.batch.RunTimeEstimator;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.jspecify.annotations.Nullable;

/** Frees resources for urgent tasks and service instances by evicting the cheapest batch tasks. */
final class EvictionPlanner {
    /**
     * Number of workers searched for the cheapest plan; the search goes on only if none has one.
     */
    private static final int SAMPLED_WORKERS = 64;

    private final PlacementRound mRound;
    private final PlacementConstraint mConstraint;
    private final PlacementSettings mSettings;
    private final CompletionTimes mCompletionTimes;
    private final EvictionCost mCost;
    private final List<Resources> mSizesWithoutPlan = new ArrayList<>();
    private int mPlanCount;

    EvictionPlanner(
            PlacementRound round,
            PlacementConstraint constraint,
            PlacementSettings settings,
            RunTimeEstimator estimator) {
        mRound = round;
        mConstraint = constraint;
        mSettings = settings;
        mCompletionTimes = new CompletionTimes(estimator);
        mCost = new EvictionCost(estimator);
    }

    /** An eviction plan: a worker, the tasks to evict from it and their total cost. */
    private record Plan(int worker, List<PlacedTask> victims, double cost) {}

    /** Claims resources that become free soon enough, or evicts tasks to free them. */
    void claimOrEvict(PendingTask task) {
        Resources size = task.specification().resources();
        if (mPlanCount >= mSettings.maximumEvictionPlans() || isKnownWithoutPlan(size)) {
            return;
        }
        mPlanCount++;
        if (claimExpectedResources(task)) {
            return;
        }
        Plan plan = cheapestPlan(task.specification());
        if (plan == null) {
            mSizesWithoutPlan.add(size);
            return;
        }
        String reason = "room for " + task.specification().task();
        plan.victims.forEach(
                victim ->
                        mRound.add(
                                new PlacementDecision.Evict(
                                        victim.specification().task(), reason)));
        mRound.claims().claim(plan.worker, size);
    }

    private boolean isKnownWithoutPlan(Resources size) {
        return mSizesWithoutPlan.stream().anyMatch(failed -> failed.fitsInto(size));
    }

    /**
     * Claims resources of tasks that are stopping or should end in time, if no other task claims
     * them; returns whether it did.
     */
    private boolean claimExpectedResources(PendingTask task) {
        TaskSpecification specification = task.specification();
        long limitMs = task.submittedMs() + mSettings.urgentWaitLimitMs();
        WorkerTable table = mRound.table();
        for (int i = 0; i < table.size(); i++) {
            if (isAllowed(specification, i)
                    && specification.resources().fitsInto(expectedFree(i, limitMs))) {
                mRound.claims().claim(i, specification.resources());
                return true;
            }
        }
        return false;
    }

    private Resources expectedFree(int worker, long limitMs) {
        Resources free = mRound.table().free(worker);
        for (PlacedTask placed : placedOn(worker)) {
            if (isStopping(placed)
                    || mCompletionTimes.expectedEndMs(placed, mRound.nowMs()) <= limitMs) {
                free = free.plus(placed.specification().resources());
            }
        }
        return mRound.claims().remaining(worker, free);
    }

    private boolean isStopping(PlacedTask placed) {
        return placed.phase() == PlacementView.Phase.STOPPING
                || mRound.isDecided(placed.specification().task());
    }

    private @Nullable Plan cheapestPlan(TaskSpecification task) {
        int size = mRound.table().size();
        int first = size == 0 ? 0 : Math.floorMod(task.task().hashCode(), size);
        Plan best = null;
        for (int searched = 0;
                searched < size && (searched < SAMPLED_WORKERS || best == null);
                searched++) {
            int worker = (first + searched) % size;
            Plan plan = isAllowed(task, worker) ? planOn(task, worker) : null;
            if (plan != null && (best == null || plan.cost < best.cost)) {
                best = plan;
            }
        }
        return best;
    }

    private boolean isAllowed(TaskSpecification task, int worker) {
        WorkerTable table = mRound.table();
        return table.isUsable(worker)
                && task.resources().fitsInto(table.worker(worker).capacity())
                && mConstraint.penalty(task, table.worker(worker), mRound.view())
                        < PlacementConstraint.FORBIDDEN;
    }

    /** Selects victims by increasing cost until the task fits, then removes those not needed. */
    private @Nullable Plan planOn(TaskSpecification task, int worker) {
        Resources free = expectedFree(worker, mRound.nowMs() - 1);
        List<PlacedTask> candidates = evictionCandidates(worker);
        List<PlacedTask> victims = new ArrayList<>();
        for (PlacedTask candidate : candidates) {
            if (task.resources().fitsInto(free)) {
                break;
            }
            victims.add(candidate);
            free = free.plus(candidate.specification().resources());
        }
        if (!task.resources().fitsInto(free)) {
            return null;
        }
        return withoutUnneededVictims(task, worker, victims, free);
    }

    private Plan withoutUnneededVictims(
            TaskSpecification task, int worker, List<PlacedTask> victims, Resources free) {
        double cost = 0;
        Resources remaining = free;
        List<PlacedTask> needed = new ArrayList<>();
        for (int i = victims.size() - 1; i >= 0; i--) {
            Resources size = victims.get(i).specification().resources();
            if (size.fitsInto(remaining) && task.resources().fitsInto(remaining.minus(size))) {
                remaining = remaining.minus(size);
            } else {
                needed.add(victims.get(i));
                cost += mCost.costOf(victims.get(i), mRound.nowMs());
            }
        }
        return new Plan(worker, needed, cost);
    }

    private List<PlacedTask> evictionCandidates(int worker) {
        List<PlacedTask> candidates = new ArrayList<>();
        for (PlacedTask placed : placedOn(worker)) {
            if (EvictionCost.isEvictable(placed) && !isStopping(placed)) {
                candidates.add(placed);
            }
        }
        candidates.sort(Comparator.comparingDouble(placed -> mCost.costOf(placed, mRound.nowMs())));
        return candidates;
    }

    private Iterable<PlacedTask> placedOn(int worker) {
        return mRound.view().placedOn(mRound.table().worker(worker).worker());
    }
}
