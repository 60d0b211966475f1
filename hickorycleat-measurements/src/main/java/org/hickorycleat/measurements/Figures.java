package org.hickorycleat.measurements;

import java.util.Locale;

/** One line of output: key=value pairs separated by spaces. */
public final class Figures {
    private final StringBuilder mLine = new StringBuilder();

    /** Adds a text. */
    public Figures with(String key, String value) {
        if (mLine.length() > 0) {
            mLine.append(' ');
        }
        mLine.append(key).append('=').append(value);
        return this;
    }

    /** Adds a number with three decimal places. */
    public Figures with(String key, double value) {
        return with(key, String.format(Locale.ROOT, "%.3f", value));
    }

    /** Adds a whole number. */
    public Figures with(String key, long value) {
        return with(key, Long.toString(value));
    }

    @Override
    public String toString() {
        return mLine.toString();
    }
}
