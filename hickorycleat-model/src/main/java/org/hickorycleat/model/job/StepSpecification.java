package org.hickorycleat.model.job;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.task.Resources;

/**
 * A step of a job: a number of equal tasks.
 *
 * @param count number of tasks
 * @param resources what each task asks for
 * @param estimateMs rough estimate of the run time of a task, in milliseconds; 0 if none
 * @param predecessors numbers of the steps that must be done first
 * @param checkpointable whether tasks write checkpoints
 * @param gang whether tasks work only all together
 * @param sameRack whether a gang slows down when it spans racks
 * @param requiredLabel label that the worker must have
 * @param preferredRack rack where the data of the tasks is
 * @param maximumPerWorker most tasks of the step on one worker; 0 for no limit
 * @param speculative whether copies of a task may run in parallel
 * @param perpetual whether tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike
 * @param targetLatencyMs bound of the tail latency of a serving task, in milliseconds; 0 if none
 * @param bestEffort whether tasks only use processors that others leave idle
 * @param maximumUnavailable how many tasks may be unavailable at once through planned actions; -1
 *     if no limit
 */
public record StepSpecification(
        int count,
        Resources resources,
        int estimateMs,
        List<Integer> predecessors,
        boolean checkpointable,
        boolean gang,
        boolean sameRack,
        Optional<String> requiredLabel,
        Optional<String> preferredRack,
        int maximumPerWorker,
        boolean speculative,
        boolean perpetual,
        String image,
        int targetLatencyMs,
        boolean bestEffort,
        int maximumUnavailable) {
    /** Copies the list. */
    public StepSpecification {
        predecessors = List.copyOf(predecessors);
    }

    /** Returns what a task takes of the guarded room of a worker. */
    public Resources reservation() {
        return bestEffort
                ? new Resources(0, resources.memoryMebibytes(), resources.accelerators())
                : resources;
    }
}
