package org.hickorycleat.model.job;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Queues and worker pools in force.
 *
 * @param maximumBodyBytes largest body of a caller's request
 */
public record WorkloadConfiguration(
        long version, List<JobQueue> queues, List<WorkerPool> pools, int maximumBodyBytes) {
    /** Copies the lists. */
    public WorkloadConfiguration {
        queues = List.copyOf(queues);
        pools = List.copyOf(pools);
    }

    /** Returns the queue with the longest prefix that the path begins with. */
    public Optional<JobQueue> match(String host, String path) {
        return queues.stream()
                .filter(queue -> queue.host().equals(host) && path.startsWith(queue.pathPrefix()))
                .max(Comparator.comparingInt(queue -> queue.pathPrefix().length()));
    }

    /** Returns the queue of a name. */
    public Optional<JobQueue> queue(QueueName name) {
        return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
    }

    /** Returns the pool of a service. */
    public Optional<WorkerPool> pool(ServiceName service) {
        return pools.stream().filter(pool -> pool.service().equals(service)).findFirst();
    }
}
