package org.hickorycleat.model.manifest;

import java.util.Locale;
import java.util.Optional;

/** How much it matters that a request or task is served, most critical first. */
public enum Criticality {
    /** Users wait and lose money without the answer. */
    CRITICAL,
    /** Users wait for the answer. */
    IMPORTANT,
    /** The default. */
    NORMAL,
    /** Shed first. */
    SHEDDABLE;

    /** Returns the word used in headers and manifests. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds the criticality of a word. */
    public static Optional<Criticality> ofWireName(String word) {
        for (Criticality criticality : values()) {
            if (criticality.wireName().equals(word)) {
                return Optional.of(criticality);
            }
        }
        return Optional.empty();
    }
}
