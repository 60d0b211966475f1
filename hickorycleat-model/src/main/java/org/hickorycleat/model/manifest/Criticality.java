package org.hickorycleat.model.manifest;

import java.util.Locale;
import java.util.Optional;

/**
 * Importance of a request or task, from most to least critical; load shedding rejects the least
 * critical first.
 */
public enum Criticality {
    /** Users wait for the response and lose money without it. */
    CRITICAL,
    /** Users wait for the response. */
    IMPORTANT,
    /** Used when no criticality is specified. */
    NORMAL,
    /** Rejected first under overload. */
    SHEDDABLE;

    /** Returns the name used in headers and manifests. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the criticality with the given wire name; empty if there is none. */
    public static Optional<Criticality> ofWireName(String wireName) {
        for (Criticality criticality : values()) {
            if (criticality.wireName().equals(wireName)) {
                return Optional.of(criticality);
            }
        }
        return Optional.empty();
    }
}
