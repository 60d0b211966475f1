package org.hickorycleat.standins.logservice;

import java.util.Locale;
import java.util.Optional;

/** How the stand-in handles every request. */
public enum LogOutage {
    /** Requests are served. */
    NONE,
    /** Requests are rejected with status 503. */
    REFUSE,
    /** Requests receive no response until the outage ends. */
    HOLD;

    String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<LogOutage> ofWireName(String wireName) {
        for (LogOutage outage : values()) {
            if (outage.wireName().equals(wireName)) {
                return Optional.of(outage);
            }
        }
        return Optional.empty();
    }
}
