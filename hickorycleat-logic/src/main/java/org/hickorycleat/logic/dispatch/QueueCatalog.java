package org.hickorycleat.logic.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.WorkloadConfiguration;

/**
 * Finds the settings of the queues of accepted jobs.
 *
 * <p>A queue that is no longer configured keeps the settings under which its jobs were accepted.
 * While no configuration has been read, no queue is known, because its limits may have changed.
 */
final class QueueCatalog {
    private final Map<QueueName, JobQueue> mAcceptingQueues = new HashMap<>();
    private Optional<WorkloadConfiguration> mConfiguration = Optional.empty();

    void onConfigurationChanged(WorkloadConfiguration configuration) {
        mConfiguration = Optional.of(configuration);
    }

    /** Handles the durable settings of a queue under which jobs were accepted. */
    void onQueueAccepting(JobQueue queue) {
        mAcceptingQueues.put(queue.name(), queue);
    }

    /** Returns the settings of a queue; empty if they are not known yet. */
    Optional<JobQueue> find(QueueName name) {
        return mConfiguration.flatMap(
                configuration ->
                        configuration
                                .queue(name)
                                .or(() -> Optional.ofNullable(mAcceptingQueues.get(name))));
    }

    /** Returns the version of the configuration in force; empty if none has been read. */
    Optional<Long> configurationVersion() {
        return mConfiguration.map(WorkloadConfiguration::version);
    }
}
