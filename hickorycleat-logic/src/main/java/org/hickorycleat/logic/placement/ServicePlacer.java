package org.hickorycleat.logic.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.task.TaskSpecification;

/** Selects workers for service instances, spread over availability zones and racks. */
final class ServicePlacer {
    private static final double ZONE_WEIGHT = 1e6;
    private static final double RACK_WEIGHT = 1e3;

    private final PlacementRound mRound;
    private final PlacementConstraint mConstraint;
    private final Map<ServiceName, Spread> mSpreads = new HashMap<>();

    ServicePlacer(PlacementRound round, PlacementConstraint constraint) {
        mRound = round;
        mConstraint = constraint;
    }

    /** Starts the instance where its service has the fewest instances, if resources are free. */
    boolean place(PendingTask task, ServiceName service) {
        if (!mRound.table().fitsAnyWorker(task.specification().resources())) {
            return false;
        }
        Spread spread = mSpreads.computeIfAbsent(service, this::countInstances);
        int best = bestWorker(task.specification(), spread);
        if (best < 0) {
            return false;
        }
        mRound.start(task, best);
        spread.add(mRound.table().worker(best));
        return true;
    }

    private int bestWorker(TaskSpecification task, Spread spread) {
        WorkerTable table = mRound.table();
        int best = -1;
        double lowestCost = PlacementConstraint.FORBIDDEN;
        for (int i = 0; i < table.size(); i++) {
            if (table.fits(i, task.resources())) {
                double cost = cost(task, spread, i);
                if (cost < lowestCost) {
                    lowestCost = cost;
                    best = i;
                }
            }
        }
        return best;
    }

    private double cost(TaskSpecification task, Spread spread, int i) {
        WorkerView worker = mRound.table().worker(i);
        double usedShare = 1 - FreeResources.freeShare(mRound.table(), i);
        return spread.cost(worker) + mConstraint.penalty(task, worker, mRound.view()) + usedShare;
    }

    private Spread countInstances(ServiceName service) {
        Spread spread = new Spread();
        Collection<PlacedTask> placed = mRound.view().instancesOf(service);
        for (PlacedTask task : placed) {
            mRound.view().worker(task.worker()).ifPresent(spread::add);
        }
        return spread;
    }

    /** Instance counts of one service by availability zone, rack and worker. */
    private static final class Spread {
        private final Map<ZoneId, Integer> mZones = new HashMap<>();
        private final Map<RackId, Integer> mRacks = new HashMap<>();
        private final Map<WorkerId, Integer> mWorkers = new HashMap<>();

        void add(WorkerView worker) {
            mZones.merge(worker.zone(), 1, Integer::sum);
            mRacks.merge(worker.rack(), 1, Integer::sum);
            mWorkers.merge(worker.worker(), 1, Integer::sum);
        }

        double cost(WorkerView worker) {
            return ZONE_WEIGHT * mZones.getOrDefault(worker.zone(), 0)
                    + RACK_WEIGHT * mRacks.getOrDefault(worker.rack(), 0)
                    + mWorkers.getOrDefault(worker.worker(), 0);
        }
    }
}
