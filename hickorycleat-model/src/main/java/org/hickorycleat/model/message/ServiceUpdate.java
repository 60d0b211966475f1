package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.ConfigurationVersion;

/** The part of a configuration that an agent needs: the services whose targets it reported. */
public record ServiceUpdate(ConfigurationVersion version, List<ServiceSlice> services)
        implements Message {
    /** Copies the collections. */
    public ServiceUpdate {
        services = List.copyOf(services);
    }
}
