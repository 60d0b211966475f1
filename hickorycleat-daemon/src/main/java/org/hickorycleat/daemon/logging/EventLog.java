package org.hickorycleat.daemon.logging;

import org.jboss.logging.Logger;

/** Writes one line of key=value pairs for each event. */
public final class EventLog {
    private final Logger mLogger;

    private EventLog(Logger logger) {
        mLogger = logger;
    }

    /** Returns the log of a class. */
    public static EventLog of(Class<?> type) {
        return new EventLog(Logger.getLogger(type));
    }

    /** Starts a line for an event whose name is in snake case. */
    public Line event(String name) {
        return new Line(mLogger, name);
    }

    /** Writes a line at level info; {@code pairs} alternates keys and values. */
    public void record(String name, Object... pairs) {
        Line line = event(name);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.with(String.valueOf(pairs[i]), pairs[i + 1]);
        }
        line.info();
    }

    /** A line under construction. */
    public static final class Line {
        private final Logger mLogger;
        private final StringBuilder mText = new StringBuilder();

        private Line(Logger logger, String event) {
            mLogger = logger;
            mText.append("event=").append(event);
        }

        /** Adds a pair; values with spaces are quoted. */
        public Line with(String key, Object value) {
            mText.append(' ').append(key).append('=').append(quote(String.valueOf(value)));
            return this;
        }

        /** Writes the line at level debug. */
        public void debug() {
            mLogger.debug(mText);
        }

        /** Writes the line at level info. */
        public void info() {
            mLogger.info(mText);
        }

        /** Writes the line at level warn. */
        public void warn() {
            mLogger.warn(mText);
        }

        /** Writes the line at level error. */
        public void error() {
            mLogger.error(mText);
        }

        private static String quote(String value) {
            String clean = value.replace('\n', ' ').replace('\r', ' ');
            if (!clean.isEmpty() && clean.chars().noneMatch(c -> c == ' ' || c == '"')) {
                return clean;
            }
            return '"' + clean.replace("\"", "\\\"") + '"';
        }
    }
}
