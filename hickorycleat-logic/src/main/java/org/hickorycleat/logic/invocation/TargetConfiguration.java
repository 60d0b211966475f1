package org.hickorycleat.logic.invocation;

import java.util.List;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Configuration of the local target of an agent.
 *
 * @param service service of the target
 * @param instance instance number that the target announced
 * @param mappedInstances instance numbers of the service in the manifest
 * @param mappingVersion version of the mapping of keys to {@code mappedInstances}
 * @param slots maximum number of running requests
 * @param connections maximum number of running and waiting requests
 */
public record TargetConfiguration(
        ServiceName service,
        InstanceNumber instance,
        List<InstanceNumber> mappedInstances,
        ConfigurationVersion mappingVersion,
        int slots,
        int connections) {
    /** Checks the limits and copies the instances. */
    public TargetConfiguration {
        if (slots < 1 || connections < slots) {
            throw new IllegalArgumentException(
                    "slots must be from 1 to connections: " + slots + ", " + connections);
        }
        mappedInstances = List.copyOf(mappedInstances);
    }
}
