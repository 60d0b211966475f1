package org.hickorycleat.model.job;

import java.util.Optional;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * A queue of jobs as the operator configures it.
 *
 * @param host host name of the callers' requests
 * @param pathPrefix prefix of the callers' paths
 * @param priority 0 is the most urgent
 * @param maximumAttempts failed runs after which a task has failed
 * @param stretch factor on the chain of work that the objective allows
 * @param targetDurationMs constant part of the objective, in milliseconds
 * @param timeoutMs longest time of one request, in milliseconds
 * @param advice whether starts need a ticket of the advice service
 */
public record JobQueue(
        QueueName name,
        String host,
        String pathPrefix,
        ServiceName service,
        int priority,
        int maximumAttempts,
        double stretch,
        int targetDurationMs,
        int timeoutMs,
        Optional<AdviceServiceSettings> advice) {
    private static final ServiceName NO_SERVICE = new ServiceName("none");

    /** Returns a queue that is no longer configured: its jobs wait, as no service may run them. */
    public static JobQueue removed(QueueName name) {
        return new JobQueue(
                name, "", "", NO_SERVICE, Integer.MAX_VALUE / 2, 1, 1, 0, 0, Optional.empty());
    }
}
