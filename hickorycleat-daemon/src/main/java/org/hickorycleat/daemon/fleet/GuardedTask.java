package org.hickorycleat.daemon.fleet;

import org.hickorycleat.daemon.logging.EventLog;

/** Runs tasks whose failure must not end the periodic task or the loop that they are part of. */
final class GuardedTask {
    private static final EventLog LOG = EventLog.of(GuardedTask.class);

    private GuardedTask() {}

    /** Runs a task; logs an exception instead of throwing it. */
    static void run(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            LOG.event("task_failed").with("task", name).with("cause", e).error();
        }
    }
}
