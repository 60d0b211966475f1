package org.hickorycleat.model.manifest;

/**
 * One fault of a manifest.
 *
 * @param path JSON path of the value, for example {@code $.services[0].slots}
 * @param value value found, shortened to 60 characters
 * @param expected what was expected in its place
 */
public record ManifestError(String path, String value, String expected) {
    @Override
    public String toString() {
        return path + ": found " + value + ", expected " + expected;
    }
}
