package org.hickorycleat.standins.logservice;

import java.util.Locale;
import java.util.Optional;

/** What happens to every request. */
public enum LogOutage {
    /** Requests are served. */
    NONE,
    /** Requests are answered 503. */
    REFUSE,
    /** Connections are held without an answer until the outage ends. */
    HOLD;

    String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<LogOutage> ofWireName(String word) {
        for (LogOutage outage : values()) {
            if (outage.wireName().equals(word)) {
                return Optional.of(outage);
            }
        }
        return Optional.empty();
    }
}
