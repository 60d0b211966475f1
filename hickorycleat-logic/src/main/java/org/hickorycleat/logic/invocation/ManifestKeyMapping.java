package org.hickorycleat.logic.invocation;

import java.util.List;
import java.util.stream.IntStream;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.manifest.ServiceSpecification;

/** Derives the mapping of idempotency keys to instances from the manifest. */
public final class ManifestKeyMapping {
    private ManifestKeyMapping() {}

    /**
     * Returns the version of the mapping of a service.
     *
     * <p>The version is the number of instances, because the mapping depends on nothing else. So a
     * process that missed a manifest agrees with one that received it, and a manifest that does not
     * change the service causes no rejected keys.
     */
    public static ConfigurationVersion version(ServiceSpecification service) {
        return new ConfigurationVersion(service.instances());
    }

    /** Returns the instances to which keys are mapped. */
    public static List<InstanceNumber> instances(ServiceSpecification service) {
        return IntStream.range(0, service.instances()).mapToObj(InstanceNumber::new).toList();
    }
}
