package org.hickorycleat.logic.invocation;

import java.util.List;
import java.util.stream.IntStream;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.manifest.ServiceSpecification;

/** Derives the mapping of keys to instances from the manifest. */
public final class ManifestKeyMapping {
    private ManifestKeyMapping() {}

    /**
     * Returns the version of the mapping of a service.
     *
     * <p>It is the number of instances, on which alone the mapping depends: a process that did not
     * see every manifest agrees with one that did, and a manifest that leaves the service alone
     * refuses no key.
     */
    public static ConfigurationVersion version(ServiceSpecification service) {
        return new ConfigurationVersion(service.instances());
    }

    /** Returns the instance numbers that keys are mapped to. */
    public static List<InstanceNumber> instances(ServiceSpecification service) {
        return IntStream.range(0, service.instances()).mapToObj(InstanceNumber::new).toList();
    }
}
