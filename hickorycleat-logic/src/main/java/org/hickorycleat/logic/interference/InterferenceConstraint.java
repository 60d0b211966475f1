package org.hickorycleat.logic.interference;

import java.util.Optional;
import java.util.Set;
import org.hickorycleat.logic.batch.JobNaming;
import org.hickorycleat.logic.placement.IndexedPlacementView;
import org.hickorycleat.logic.placement.PlacementConstraint;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.task.TaskSpecification;

/** Prefers workers where a task neither disturbs a service nor, being one, is disturbed. */
public final class InterferenceConstraint implements PlacementConstraint {
    /** Makes a slowdown of a tenth outweigh any difference in free room. */
    private static final double WEIGHT = 10;

    private final InterferenceModel mModel;
    private final JobNaming mNaming;

    /** Creates the constraint. */
    public InterferenceConstraint(InterferenceModel model, JobNaming naming) {
        mModel = model;
        mNaming = naming;
    }

    @Override
    public boolean appliesTo(TaskSpecification task) {
        if (!mModel.anyHarm()) {
            return false;
        }
        return task.service().isPresent() || !mModel.harmedBy(mNaming.jobOf(task)).isEmpty();
    }

    @Override
    public double penalty(TaskSpecification task, WorkerView worker, IndexedPlacementView view) {
        if (!appliesTo(task)) {
            return 0;
        }
        Optional<ServiceName> service = task.service();
        return service.isPresent()
                ? WEIGHT * slowdownOf(service.get(), worker, view)
                : WEIGHT * slowdownBy(mNaming.jobOf(task), worker, view);
    }

    private double slowdownOf(ServiceName service, WorkerView worker, IndexedPlacementView view) {
        double slowdown = 0;
        for (PlacedTask placed : view.placedOn(worker.worker())) {
            if (placed.specification().service().isEmpty()) {
                JobName job = mNaming.jobOf(placed.specification());
                slowdown += mModel.harmedBy(job).contains(service) ? mean(service, job) : 0;
            }
        }
        return slowdown;
    }

    /** Returns the summed slowdown of the services on a worker by a job. */
    double slowdownBy(JobName job, WorkerView worker, IndexedPlacementView view) {
        Set<ServiceName> harmed = mModel.harmedBy(job);
        double slowdown = 0;
        for (PlacedTask placed : view.placedOn(worker.worker())) {
            Optional<ServiceName> service = placed.specification().service();
            if (service.isPresent() && harmed.contains(service.get())) {
                slowdown += mean(service.get(), job);
            }
        }
        return slowdown;
    }

    private double mean(ServiceName service, JobName job) {
        return mModel.estimate(service, job).mean();
    }
}
