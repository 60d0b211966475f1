package org.hickorycleat.model.manifest;

/**
 * A part of a valid manifest that cannot have the effect that it asks for.
 *
 * @param kind kind of the finding
 * @param path JSON path of the entry, for example {@code $.jobs[0]}
 * @param detail one-line description for the operator
 */
public record ManifestFinding(Kind kind, String path, String detail) {
    /** Kinds of findings. */
    public enum Kind {
        /** The entry applies to nothing, or never takes effect. */
        NEVER_APPLIES,
        /** Two limits cannot be kept at the same time. */
        CONTRADICTION
    }

    @Override
    public String toString() {
        return path + ": " + detail;
    }
}
