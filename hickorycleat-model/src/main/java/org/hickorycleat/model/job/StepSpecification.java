package org.hickorycleat.model.job;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.task.Resources;

/**
 * A step of a job: a number of identical tasks.
 *
 * @param count number of tasks
 * @param resources resources that each task requests
 * @param estimateMs rough estimate of the run time of a task, in milliseconds; 0 if none
 * @param predecessors numbers of the steps that must complete first
 * @param checkpointable whether tasks write checkpoints
 * @param gang whether the tasks make progress only while all of them run (gang scheduling)
 * @param sameRack whether a gang slows down when it spans racks
 * @param requiredLabel label that the worker must have
 * @param preferredRack rack that holds the data of the tasks
 * @param maximumPerWorker maximum number of tasks of the step on one worker; 0 for no limit
 * @param speculative whether a task may have speculative copies that run in parallel
 * @param longRunning whether tasks run until the job is cancelled
 * @param image program that the tasks run; tasks of one image behave alike
 * @param targetLatencyMs upper bound on the tail latency of a latency-critical task, in
 *     milliseconds; 0 for other tasks
 * @param bestEffort whether tasks only use idle processors
 * @param maximumUnavailable disruption budget: maximum number of tasks that planned actions may
 *     make unavailable at once; -1 for no limit
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
        boolean longRunning,
        String image,
        int targetLatencyMs,
        boolean bestEffort,
        int maximumUnavailable) {
    /** Copies the list. */
    public StepSpecification {
        predecessors = List.copyOf(predecessors);
    }

    /**
     * Returns whether the step has tasks whose number and resources are in range, and follows only
     * steps before the given number, its own.
     */
    public boolean isWellFormed(int number) {
        return count >= 1
                && count <= JobSubmission.MAXIMUM_TASKS
                && estimateMs >= 0
                && resources.isInRange()
                && predecessors.stream()
                        .allMatch(predecessor -> predecessor >= 0 && predecessor < number);
    }

    /**
     * Returns the resources that a task reserves on its worker; a best-effort task reserves no
     * processors.
     */
    public Resources reservation() {
        return bestEffort
                ? new Resources(0, resources.memoryMebibytes(), resources.accelerators())
                : resources;
    }
}
