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

/** Prefers workers on which batch tasks do not slow down services. */
public final class InterferenceConstraint implements PlacementConstraint {
    /** Makes a slowdown of 10% outweigh any difference in free resources. */
    private static final double SLOWDOWN_WEIGHT = 10;

    private final InterferenceModel mModel;
    private final JobNaming mNaming;

    /** Creates the constraint. */
    public InterferenceConstraint(InterferenceModel model, JobNaming naming) {
        mModel = model;
        mNaming = naming;
    }

    @Override
    public boolean appliesTo(TaskSpecification task) {
        if (!mModel.hasHarmfulPairs()) {
            return false;
        }
        return task.service().isPresent()
                || !mModel.servicesSlowedBy(mNaming.jobOf(task)).isEmpty();
    }

    @Override
    public double penalty(TaskSpecification task, WorkerView worker, IndexedPlacementView view) {
        if (!appliesTo(task)) {
            return 0;
        }
        Optional<ServiceName> service = task.service();
        return service.isPresent()
                ? SLOWDOWN_WEIGHT * slowdownOfService(service.get(), worker, view)
                : SLOWDOWN_WEIGHT * slowdownCausedBy(mNaming.jobOf(task), worker, view);
    }

    private double slowdownOfService(
            ServiceName service, WorkerView worker, IndexedPlacementView view) {
        double slowdown = 0;
        for (PlacedTask placed : view.placedOn(worker.worker())) {
            if (placed.specification().service().isEmpty()) {
                JobName job = mNaming.jobOf(placed.specification());
                slowdown +=
                        mModel.servicesSlowedBy(job).contains(service)
                                ? meanSlowdown(service, job)
                                : 0;
            }
        }
        return slowdown;
    }

    /** Returns the sum of the slowdowns that a job causes to the services on a worker. */
    double slowdownCausedBy(JobName job, WorkerView worker, IndexedPlacementView view) {
        Set<ServiceName> slowedServices = mModel.servicesSlowedBy(job);
        double slowdown = 0;
        for (PlacedTask placed : view.placedOn(worker.worker())) {
            Optional<ServiceName> service = placed.specification().service();
            if (service.isPresent() && slowedServices.contains(service.get())) {
                slowdown += meanSlowdown(service.get(), job);
            }
        }
        return slowdown;
    }

    private double meanSlowdown(ServiceName service, JobName job) {
        return mModel.estimate(service, job).mean();
    }
}
