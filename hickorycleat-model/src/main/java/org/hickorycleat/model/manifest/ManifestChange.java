package org.hickorycleat.model.manifest;

import java.util.Locale;

/**
 * A difference between two manifests.
 *
 * @param kind whether the entry is added, removed or changed
 * @param entry kind and name of the entry, for example {@code service reservations}
 * @param detail for a changed entry, each changed field with its value before and after; else empty
 */
public record ManifestChange(Kind kind, String entry, String detail) {
    /** Kinds of changes. */
    public enum Kind {
        /** Only the new manifest has the entry. */
        ADDED,
        /** Only the old manifest has the entry. */
        REMOVED,
        /** Both have the entry, with different values. */
        CHANGED
    }

    @Override
    public String toString() {
        String line = kind.name().toLowerCase(Locale.ROOT) + " " + entry;
        return detail.isEmpty() ? line : line + ": " + detail;
    }
}
