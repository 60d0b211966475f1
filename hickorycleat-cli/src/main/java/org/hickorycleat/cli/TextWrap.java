package org.hickorycleat.cli;

/** Wraps lines of text at spaces. */
public final class TextWrap {
    private TextWrap() {}

    /** Wraps a line to the terminal width, with an indent from the second line on. */
    public static String wrap(String line, String indent) {
        StringBuilder text = new StringBuilder();
        String remaining = line;
        int width = TextTable.COLUMNS;
        while (remaining.length() > width) {
            int space = remaining.lastIndexOf(' ', width);
            int end = space > 0 ? space : width;
            text.append(remaining, 0, end).append('\n').append(indent);
            remaining = remaining.substring(end).stripLeading();
            width = TextTable.COLUMNS - indent.length();
        }
        return text.append(remaining).append('\n').toString();
    }
}
