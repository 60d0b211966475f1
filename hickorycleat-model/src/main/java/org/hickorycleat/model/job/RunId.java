package org.hickorycleat.model.job;

/**
 * One run of a task on a worker.
 *
 * @param number rises with each run of the task, from 1
 */
public record RunId(TaskKey task, int number) {
    @Override
    public String toString() {
        return task + "#" + number;
    }
}
