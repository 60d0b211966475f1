package org.hickorycleat.cli;

/** Breaks lines of text at blanks. */
public final class TextWrap {
    private TextWrap() {}

    /** Breaks a line so that it fits the terminal, with an indent from the second line on. */
    public static String wrap(String line, String indent) {
        StringBuilder text = new StringBuilder();
        String rest = line;
        int width = TextTable.COLUMNS;
        while (rest.length() > width) {
            int blank = rest.lastIndexOf(' ', width);
            int end = blank > 0 ? blank : width;
            text.append(rest, 0, end).append('\n').append(indent);
            rest = rest.substring(end).stripLeading();
            width = TextTable.COLUMNS - indent.length();
        }
        return text.append(rest).append('\n').toString();
    }
}
