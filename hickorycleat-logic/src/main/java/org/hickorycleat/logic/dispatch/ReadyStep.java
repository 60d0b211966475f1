package org.hickorycleat.logic.dispatch;

import java.util.List;

/**
 * The tasks of a step that can be placed now. All of them have the same order, and if there is no
 * worker for one, there is none for the others.
 *
 * @param tasks ready tasks, in the order of their index; not empty
 */
record ReadyStep(TrackedStep step, List<TrackedTask> tasks) {}
