package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.ZoneId;

/** Free capacity of an entry, sent to other entries. */
public record PeerSummary(
        ZoneId zone, ConfigurationVersion configurationVersion, List<ServiceCapacity> services)
        implements Message {
    /** Copies the collections. */
    public PeerSummary {
        services = List.copyOf(services);
    }
}
