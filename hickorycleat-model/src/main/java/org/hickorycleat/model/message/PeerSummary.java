package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.ZoneId;

/** What an entry can still take, for other entries. */
public record PeerSummary(
        ZoneId zone, ConfigurationVersion configurationVersion, List<ServiceCapacity> services)
        implements Message {
    /** Copies the collections. */
    public PeerSummary {
        services = List.copyOf(services);
    }
}
