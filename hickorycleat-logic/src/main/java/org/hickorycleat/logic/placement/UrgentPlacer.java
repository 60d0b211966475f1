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

/** Makes room for urgent work and instances of services by evicting the cheapest batch work. */
final class UrgentPlacer {
    /** Workers among which the cheapest plan is sought; more are read only if none has a plan. */
    private static final int SAMPLE = 64;

    private final PlacementRound mRound;
    private final PlacementConstraint mConstraint;
    private final PlacementSettings mSettings;
    private final RunningEnds mEnds;
    private final EvictionCost mCost;
    private final List<Resources> mWithoutPlan = new ArrayList<>();
    private int mPlans;

    UrgentPlacer(
            PlacementRound round,
            PlacementConstraint constraint,
            PlacementSettings settings,
            RunTimeEstimator estimator) {
        mRound = round;
        mConstraint = constraint;
        mSettings = settings;
        mEnds = new RunningEnds(estimator);
        mCost = new EvictionCost(estimator);
    }

    /** An eviction plan: the room of a worker, the tasks to evict and their cost. */
    private record Plan(int worker, List<PlacedTask> victims, double cost) {}

    /** Claims room that is coming free soon enough, or evicts for it. */
    void makeRoom(PendingTask task) {
        Resources size = task.specification().resources();
        if (mPlans >= mSettings.maximumEvictionPlans() || knownWithoutPlan(size)) {
            return;
        }
        mPlans++;
        if (claimComingRoom(task)) {
            return;
        }
        Plan plan = cheapest(task.specification());
        if (plan == null) {
            mWithoutPlan.add(size);
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

    private boolean knownWithoutPlan(Resources size) {
        return mWithoutPlan.stream().anyMatch(failed -> failed.fitsInto(size));
    }

    /** Room of stopping tasks, or of tasks that should end in time, that no other task claims. */
    private boolean claimComingRoom(PendingTask task) {
        TaskSpecification specification = task.specification();
        long byMs = task.submittedMs() + mSettings.urgentWaitMs();
        WorkerTable table = mRound.table();
        for (int i = 0; i < table.size(); i++) {
            if (allowed(specification, i) && specification.resources().fitsInto(coming(i, byMs))) {
                mRound.claims().claim(i, specification.resources());
                return true;
            }
        }
        return false;
    }

    private Resources coming(int worker, long byMs) {
        Resources room = mRound.table().free(worker);
        for (PlacedTask placed : placedOn(worker)) {
            if (leaving(placed) || mEnds.endMs(placed, mRound.nowMs()) <= byMs) {
                room = room.plus(placed.specification().resources());
            }
        }
        return mRound.claims().remaining(worker, room);
    }

    private boolean leaving(PlacedTask placed) {
        return placed.phase() == PlacementView.Phase.STOPPING
                || mRound.decided(placed.specification().task());
    }

    private @Nullable Plan cheapest(TaskSpecification task) {
        int size = mRound.table().size();
        int first = size == 0 ? 0 : Math.floorMod(task.task().hashCode(), size);
        Plan best = null;
        for (int n = 0; n < size && (n < SAMPLE || best == null); n++) {
            int worker = (first + n) % size;
            Plan plan = allowed(task, worker) ? plan(task, worker) : null;
            if (plan != null && (best == null || plan.cost < best.cost)) {
                best = plan;
            }
        }
        return best;
    }

    private boolean allowed(TaskSpecification task, int worker) {
        WorkerTable table = mRound.table();
        return table.usable(worker)
                && task.resources().fitsInto(table.worker(worker).capacity())
                && mConstraint.penalty(task, table.worker(worker), mRound.view())
                        < PlacementConstraint.FORBIDDEN;
    }

    /** Evicts by increasing cost until there is room, then spares whom it need not evict. */
    private @Nullable Plan plan(TaskSpecification task, int worker) {
        Resources room = coming(worker, mRound.nowMs() - 1);
        List<PlacedTask> candidates = candidates(worker);
        List<PlacedTask> victims = new ArrayList<>();
        for (PlacedTask candidate : candidates) {
            if (task.resources().fitsInto(room)) {
                break;
            }
            victims.add(candidate);
            room = room.plus(candidate.specification().resources());
        }
        if (!task.resources().fitsInto(room)) {
            return null;
        }
        return spare(task, worker, victims, room);
    }

    private Plan spare(
            TaskSpecification task, int worker, List<PlacedTask> victims, Resources room) {
        double cost = 0;
        Resources left = room;
        List<PlacedTask> needed = new ArrayList<>();
        for (int i = victims.size() - 1; i >= 0; i--) {
            Resources size = victims.get(i).specification().resources();
            if (size.fitsInto(left) && task.resources().fitsInto(left.minus(size))) {
                left = left.minus(size);
            } else {
                needed.add(victims.get(i));
                cost += mCost.of(victims.get(i), mRound.nowMs());
            }
        }
        return new Plan(worker, needed, cost);
    }

    private List<PlacedTask> candidates(int worker) {
        List<PlacedTask> candidates = new ArrayList<>();
        for (PlacedTask placed : placedOn(worker)) {
            if (EvictionCost.evictable(placed) && !leaving(placed)) {
                candidates.add(placed);
            }
        }
        candidates.sort(Comparator.comparingDouble(placed -> mCost.of(placed, mRound.nowMs())));
        return candidates;
    }

    private Iterable<PlacedTask> placedOn(int worker) {
        return mRound.view().placedOn(mRound.table().worker(worker).worker());
    }
}
