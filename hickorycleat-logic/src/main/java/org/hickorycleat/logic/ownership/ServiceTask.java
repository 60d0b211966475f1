package org.hickorycleat.logic.ownership;

import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;

/**
 * Identity of one generation of a service instance: {@code service/instance/generation}. A
 * replacement has the next generation, so it never conflicts with the one that it replaces.
 */
public record ServiceTask(ServiceInstance instance, long generation) {
    TaskId task() {
        return new TaskId(instance.service() + "/" + instance.instance() + "/" + generation);
    }

    static ServiceTask parse(TaskId task, ServiceName service) {
        String[] parts = task.value().substring(service.value().length() + 1).split("/", -1);
        return new ServiceTask(
                new ServiceInstance(service, new InstanceNumber(Long.parseLong(parts[0]))),
                Long.parseLong(parts[1]));
    }

    /** An instance of a service. */
    public record ServiceInstance(ServiceName service, InstanceNumber instance) {}
}
