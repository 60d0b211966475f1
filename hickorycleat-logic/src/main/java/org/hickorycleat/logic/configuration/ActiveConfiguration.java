package org.hickorycleat.logic.configuration;

import java.util.Optional;
import org.hickorycleat.model.configuration.AcceptedConfiguration;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.ManifestSlices;
import org.hickorycleat.model.manifest.ManifestWriter;

/**
 * Active configuration and its source.
 *
 * @param configuration accepted configuration, or a configuration slice of it
 * @param source where the process obtained it
 */
public record ActiveConfiguration(AcceptedConfiguration configuration, ConfigurationSource source) {
    /** Returns the version. */
    public ConfigurationVersion version() {
        return configuration.version();
    }

    /**
     * Returns the active configuration after an update by a candidate; empty if nothing changes.
     */
    Optional<ActiveConfiguration> updatedBy(ActiveConfiguration candidate) {
        int comparison = candidate.version().compareTo(version());
        if (source.isComplete() && !candidate.source.isComplete()) {
            return Optional.empty();
        }
        if (comparison != 0) {
            return comparison > 0 ? Optional.of(candidate) : Optional.empty();
        }
        if (candidate.source.isComplete()) {
            boolean isBetter = !source.isComplete() || candidate.source.compareTo(source) < 0;
            return isBetter ? Optional.of(candidate) : Optional.empty();
        }
        return merge(candidate);
    }

    private Optional<ActiveConfiguration> merge(ActiveConfiguration candidate) {
        Manifest own = configuration.manifest();
        Manifest merged = ManifestSlices.merge(own, candidate.configuration.manifest());
        if (merged.equals(ManifestSlices.merge(own, own))) {
            return Optional.empty();
        }
        return Optional.of(
                new ActiveConfiguration(
                        new AcceptedConfiguration(version(), merged, ManifestWriter.write(merged)),
                        source));
    }
}
