package org.hickorycleat.model.manifest;

/**
 * A validation error of a manifest.
 *
 * @param path JSON path of the value, for example {@code $.services[0].slots}
 * @param value value found, truncated to 60 characters
 * @param expected description of an acceptable value
 */
public record ManifestError(String path, String value, String expected) {
    @Override
    public String toString() {
        return path + ": found " + value + ", expected " + expected;
    }
}
