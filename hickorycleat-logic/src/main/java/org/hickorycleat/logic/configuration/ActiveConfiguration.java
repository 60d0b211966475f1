package org.hickorycleat.logic.configuration;

import java.util.Optional;
import org.hickorycleat.model.configuration.AcceptedConfiguration;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.ManifestSlices;
import org.hickorycleat.model.manifest.ManifestWriter;

/**
 * A configuration and where it came from.
 *
 * @param configuration accepted configuration, or a slice of it
 * @param source where it came from
 */
public record ActiveConfiguration(AcceptedConfiguration configuration, ConfigurationSource source) {
    /** Returns the version. */
    public ConfigurationVersion version() {
        return configuration.version();
    }

    /** Returns what is in force after an offer; empty if the offer changes nothing. */
    Optional<ActiveConfiguration> after(ActiveConfiguration offered) {
        int comparison = offered.version().compareTo(version());
        if (source.isComplete() && !offered.source.isComplete()) {
            return Optional.empty();
        }
        if (comparison != 0) {
            return comparison > 0 ? Optional.of(offered) : Optional.empty();
        }
        if (offered.source.isComplete()) {
            boolean isBetter = !source.isComplete() || offered.source.compareTo(source) < 0;
            return isBetter ? Optional.of(offered) : Optional.empty();
        }
        return merge(offered);
    }

    private Optional<ActiveConfiguration> merge(ActiveConfiguration offered) {
        Manifest own = configuration.manifest();
        Manifest merged = ManifestSlices.merge(own, offered.configuration.manifest());
        if (merged.equals(ManifestSlices.merge(own, own))) {
            return Optional.empty();
        }
        return Optional.of(
                new ActiveConfiguration(
                        new AcceptedConfiguration(version(), merged, ManifestWriter.write(merged)),
                        source));
    }
}
