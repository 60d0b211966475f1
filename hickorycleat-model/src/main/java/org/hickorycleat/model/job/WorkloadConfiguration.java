package org.hickorycleat.model.job;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Configuration of job queues and worker pools.
 *
 * @param maximumBodyBytes maximum body size of a caller's request, in bytes
 */
public record WorkloadConfiguration(
        long version, List<JobQueue> queues, List<WorkerPool> pools, int maximumBodyBytes) {
    /** Copies the lists. */
    public WorkloadConfiguration {
        queues = List.copyOf(queues);
        pools = List.copyOf(pools);
    }

    /**
     * Returns the queue for a request: of the queues with the same host, the one with the longest
     * matching path prefix; empty if none matches.
     */
    public Optional<JobQueue> match(String host, String path) {
        return queues.stream()
                .filter(queue -> queue.host().equals(host) && path.startsWith(queue.pathPrefix()))
                .max(Comparator.comparingInt(queue -> queue.pathPrefix().length()));
    }

    /** Returns the queue with the given name; empty if there is none. */
    public Optional<JobQueue> queue(QueueName name) {
        return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
    }

    /** Returns the worker pool of the given service; empty if there is none. */
    public Optional<WorkerPool> pool(ServiceName service) {
        return pools.stream().filter(pool -> pool.service().equals(service)).findFirst();
    }
}
