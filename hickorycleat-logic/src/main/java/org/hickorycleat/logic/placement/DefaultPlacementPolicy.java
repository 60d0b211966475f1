package org.hickorycleat.logic.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.batch.GapRule;
import org.hickorycleat.logic.batch.GapRules;
import org.hickorycleat.logic.batch.PriorityRule;
import org.hickorycleat.logic.batch.PriorityRules;
import org.hickorycleat.logic.batch.RunTimeEstimator;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/**
 * The default policy: service instances and urgent tasks first, with eviction, then batch tasks by
 * apparent tardiness cost, which weighs deadline risk against size, with backfilling.
 *
 * <p>The view of each call must reflect all earlier decisions that have not been undone: a started
 * task is placed and an evicted one is stopping. Not safe for use by several threads.
 */
public final class DefaultPlacementPolicy implements PlacementPolicy {
    private final PlacementSettings mSettings;
    private final RunTimeEstimator mEstimator;
    private final PlacementConstraint mConstraint;
    private final GapRule mGapRule;
    private final BatchQueue mQueue;
    private long mFirstCallMs = Long.MIN_VALUE;

    private DefaultPlacementPolicy(Builder builder) {
        mSettings = builder.mSettings;
        mEstimator = builder.mEstimator;
        mConstraint = builder.mConstraint;
        mGapRule = builder.mGapRule;
        mQueue = new BatchQueue(builder.mPriorityRule, mEstimator, mSettings);
    }

    /** Returns a builder with the default rules. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public List<PlacementDecision> decide(PlacementView view, long nowMs) {
        if (mFirstCallMs == Long.MIN_VALUE) {
            mFirstCallMs = nowMs;
        }
        PlacementRound round =
                new PlacementRound(IndexedPlacementView.of(view), nowMs, mConstraint);
        placeHighPriority(round);
        placeBatch(round);
        return round.decisions();
    }

    private void placeHighPriority(PlacementRound round) {
        List<PendingTask> tasks = new ArrayList<>(round.view().pendingHighPriority());
        tasks.sort(
                Comparator.comparing((PendingTask task) -> task.specification().criticality())
                        .thenComparingLong(PendingTask::submittedMs)
                        .thenComparing(task -> task.specification().task()));
        ServicePlacer services = new ServicePlacer(round, mConstraint);
        BatchPlacer urgent =
                new BatchPlacer(
                        round, mConstraint, mEstimator, mGapRule, mSettings.reservationDelayMs());
        EvictionPlanner evictionPlanner =
                new EvictionPlanner(round, mConstraint, mSettings, mEstimator);
        for (PendingTask task : tasks) {
            TaskSpecification specification = task.specification();
            if (round.startCount() >= mSettings.maximumStarts()) {
                return;
            }
            if (specification.releaseMs() > round.nowMs()
                    || rejectIfNeverRunnable(round, specification)) {
                continue;
            }
            Optional<ServiceName> service = specification.service();
            boolean placed =
                    service.isPresent()
                            ? services.place(task, service.get())
                            : urgent.placeWithoutReservation(task);
            if (!placed && round.isWithinQuota(specification)) {
                evictionPlanner.claimOrEvict(task);
            }
        }
    }

    private void placeBatch(PlacementRound round) {
        BatchPlacer placer =
                new BatchPlacer(
                        round, mConstraint, mEstimator, mGapRule, mSettings.reservationDelayMs());
        int waiting = 0;
        for (BatchQueue.Entry entry : mQueue.firstInOrder(round.view(), round.nowMs())) {
            if (round.startCount() >= mSettings.maximumStarts()) {
                return;
            }
            Optional<PendingTask> task = round.view().pending(entry.task().specification().task());
            if (task.isPresent()
                    && !rejectIfNeverRunnable(round, task.get().specification())
                    && !placer.place(task.get())) {
                waiting++;
            }
        }
        if (waiting == 0) {
            mQueue.orderTasksReadSoFar();
        }
    }

    /** Rejects a task that can never run; returns whether it did. */
    private boolean rejectIfNeverRunnable(PlacementRound round, TaskSpecification task) {
        Resources quota = round.view().quotas().get(task.team());
        if (task.service().isEmpty() && quota != null && !task.resources().fitsInto(quota)) {
            round.reject(
                    task.task(),
                    ResultCode.QUOTA_EXCEEDED,
                    "needs " + task.resources() + " but the quota of its team is " + quota);
            return true;
        }
        boolean allWorkersReported =
                round.nowMs() - mFirstCallMs >= mSettings.neverRunnableDelayMs();
        if (allWorkersReported
                && round.table().size() > 0
                && !round.table().fitsAnyCapacity(task.resources())) {
            round.reject(
                    task.task(),
                    ResultCode.NEVER_RUNNABLE,
                    "needs " + task.resources() + ", more than any worker has");
            return true;
        }
        return false;
    }

    /** Builds a {@link DefaultPlacementPolicy}. */
    public static final class Builder {
        private PlacementSettings mSettings = PlacementSettings.DEFAULT;
        private RunTimeEstimator mEstimator = RunTimeEstimator.DECLARED;
        private PlacementConstraint mConstraint = PlacementConstraint.NONE;
        private PriorityRule mPriorityRule = PriorityRules.APPARENT_TARDINESS_COST;
        private GapRule mGapRule = GapRules.BEST_FIT;

        private Builder() {}

        /** Sets the limits of a call and the delays. */
        public Builder settings(PlacementSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets the estimator of run times and resources. */
        public Builder estimator(RunTimeEstimator estimator) {
            mEstimator = estimator;
            return this;
        }

        /** Sets the constraint that allows, penalizes or forbids workers. */
        public Builder constraint(PlacementConstraint constraint) {
            mConstraint = constraint;
            return this;
        }

        /** Sets the rule that orders batch tasks. */
        public Builder priorityRule(PriorityRule rule) {
            mPriorityRule = rule;
            return this;
        }

        /** Sets the rule that selects among workers with enough free resources. */
        public Builder gapRule(GapRule rule) {
            mGapRule = rule;
            return this;
        }

        /** Returns the policy. */
        public DefaultPlacementPolicy build() {
            return new DefaultPlacementPolicy(this);
        }
    }
}
