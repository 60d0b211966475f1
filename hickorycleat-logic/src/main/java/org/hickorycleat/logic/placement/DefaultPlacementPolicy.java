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
 * The default policy: instances of services and urgent work first, with eviction, then batch work
 * by deadline risk weighed against size, with gap filling.
 *
 * <p>The view of each call must contain the effects of all earlier decisions that still stand: a
 * started task is placed, an evicted one is stopping. At most one thread may call.
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
        placeFirst(round);
        placeBatch(round);
        return round.decisions();
    }

    private void placeFirst(PlacementRound round) {
        List<PendingTask> tasks = new ArrayList<>(round.view().pendingFirst());
        tasks.sort(
                Comparator.comparing((PendingTask task) -> task.specification().criticality())
                        .thenComparingLong(PendingTask::submittedMs)
                        .thenComparing(task -> task.specification().task()));
        ServicePlacer services = new ServicePlacer(round, mConstraint);
        BatchPlacer urgent =
                new BatchPlacer(
                        round, mConstraint, mEstimator, mGapRule, mSettings.reservationDelayMs());
        UrgentPlacer evictions = new UrgentPlacer(round, mConstraint, mSettings, mEstimator);
        for (PendingTask task : tasks) {
            TaskSpecification specification = task.specification();
            if (round.starts() >= mSettings.maximumStarts()) {
                return;
            }
            if (specification.releaseMs() > round.nowMs() || rejected(round, specification)) {
                continue;
            }
            Optional<ServiceName> service = specification.service();
            boolean placed =
                    service.isPresent()
                            ? services.place(task, service.get())
                            : urgent.placeWithoutReservation(task);
            if (!placed && round.withinQuota(specification)) {
                evictions.makeRoom(task);
            }
        }
    }

    private void placeBatch(PlacementRound round) {
        BatchPlacer placer =
                new BatchPlacer(
                        round, mConstraint, mEstimator, mGapRule, mSettings.reservationDelayMs());
        int waiting = 0;
        for (BatchQueue.Entry entry : mQueue.first(round.view(), round.nowMs())) {
            if (round.starts() >= mSettings.maximumStarts()) {
                return;
            }
            Optional<PendingTask> task = round.view().pending(entry.task().specification().task());
            if (task.isPresent()
                    && !rejected(round, task.get().specification())
                    && !placer.place(task.get())) {
                waiting++;
            }
        }
        if (waiting == 0) {
            mQueue.exhausted();
        }
    }

    /** Rejects a task that can never run. */
    private boolean rejected(PlacementRound round, TaskSpecification task) {
        Resources quota = round.view().quotas().get(task.team());
        if (task.service().isEmpty() && quota != null && !task.resources().fitsInto(quota)) {
            round.reject(
                    task.task(),
                    ResultCode.QUOTA_EXCEEDED,
                    "needs " + task.resources() + " but the quota of its team is " + quota);
            return true;
        }
        boolean settled = round.nowMs() - mFirstCallMs >= mSettings.fleetSettleMs();
        if (settled && round.table().size() > 0 && !round.table().everFits(task.resources())) {
            round.reject(
                    task.task(),
                    ResultCode.NEVER_RUNNABLE,
                    "needs " + task.resources() + ", more than any worker has");
            return true;
        }
        return false;
    }

    /** Builds a policy. */
    public static final class Builder {
        private PlacementSettings mSettings = PlacementSettings.DEFAULT;
        private RunTimeEstimator mEstimator = RunTimeEstimator.DECLARED;
        private PlacementConstraint mConstraint = PlacementConstraint.NONE;
        private PriorityRule mPriorityRule = PriorityRules.APPARENT_TARDINESS_COST;
        private GapRule mGapRule = GapRules.BEST_FIT;

        private Builder() {}

        /** Sets the limits. */
        public Builder settings(PlacementSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets the source of run times and sizes. */
        public Builder estimator(RunTimeEstimator estimator) {
            mEstimator = estimator;
            return this;
        }

        /** Sets the constraint on workers. */
        public Builder constraint(PlacementConstraint constraint) {
            mConstraint = constraint;
            return this;
        }

        /** Sets the order of batch work. */
        public Builder priorityRule(PriorityRule rule) {
            mPriorityRule = rule;
            return this;
        }

        /** Sets the choice among gaps. */
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
