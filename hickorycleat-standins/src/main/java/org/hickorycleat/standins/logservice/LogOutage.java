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

    String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<LogOutage> ofWord(String word) {
        for (LogOutage outage : values()) {
            if (outage.word().equals(word)) {
                return Optional.of(outage);
            }
        }
        return Optional.empty();
    }
}
