package org.hickorycleat.model.job;

/**
 * Identifies one run of a task on a worker.
 *
 * @param number number of the run; starts at 1 and increases with each run of the task
 */
public record RunId(TaskKey task, int number) {
    @Override
    public String toString() {
        return task + "#" + number;
    }
}
