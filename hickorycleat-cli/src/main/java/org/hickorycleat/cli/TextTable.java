package org.hickorycleat.cli;

import java.util.ArrayList;
import java.util.List;

/** Plain-text table that is never wider than the terminal; long cells wrap to further lines. */
public final class TextTable {
    /** Assumed width of the terminal in characters. */
    public static final int COLUMNS = 80;

    private static final int COLUMN_GAP = 2;

    private final List<List<String>> mRows = new ArrayList<>();

    /** Creates a table with a heading row. */
    public TextTable(String... heading) {
        mRows.add(List.of(heading));
    }

    /** Adds a row with one cell per column. */
    public TextTable row(String... cells) {
        if (cells.length != mRows.get(0).size()) {
            throw new IllegalArgumentException(
                    "row does not match the heading: " + cells.length + " cells");
        }
        mRows.add(List.of(cells));
        return this;
    }

    /** Formats the table; each line ends with a newline. */
    public String render() {
        int[] widths = columnWidths();
        StringBuilder text = new StringBuilder();
        for (List<String> row : mRows) {
            render(row, widths, text);
        }
        return text.toString();
    }

    private int[] columnWidths() {
        int[] widths = new int[mRows.get(0).size()];
        int total = COLUMN_GAP * (widths.length - 1);
        for (List<String> row : mRows) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        for (int width : widths) {
            total += width;
        }
        for (; total > COLUMNS; total--) {
            widths[widestColumn(widths)]--;
        }
        return widths;
    }

    private static int widestColumn(int[] widths) {
        int widest = 0;
        for (int column = 1; column < widths.length; column++) {
            if (widths[column] > widths[widest]) {
                widest = column;
            }
        }
        return widest;
    }

    private static void render(List<String> row, int[] widths, StringBuilder text) {
        int lines = 1;
        for (int column = 0; column < widths.length; column++) {
            int length = row.get(column).length();
            lines = Math.max(lines, (length + widths[column] - 1) / Math.max(1, widths[column]));
        }
        for (int line = 0; line < lines; line++) {
            StringBuilder output = new StringBuilder();
            for (int column = 0; column < widths.length; column++) {
                output.append(" ".repeat(column == 0 ? 0 : COLUMN_GAP));
                String part = cellPart(row.get(column), line, widths[column]);
                output.append(part).append(" ".repeat(widths[column] - part.length()));
            }
            text.append(output.toString().stripTrailing()).append('\n');
        }
    }

    private static String cellPart(String cell, int line, int width) {
        int start = Math.min(cell.length(), line * width);
        return cell.substring(start, Math.min(cell.length(), start + width));
    }
}
