package org.hickorycleat.daemon.settings;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Index of the line numbers and duplicates of the settings in a file, which the INI library does
 * not record.
 */
final class SettingLineIndex {
    private final Map<String, Integer> mLines = new HashMap<>();
    private final Map<String, Integer> mDuplicates = new LinkedHashMap<>();
    private final Set<String> mSections = new HashSet<>();

    SettingLineIndex(String text) {
        String section = "";
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            String stripped = line.strip();
            if (stripped.startsWith("[") && stripped.endsWith("]")) {
                section = stripped.substring(1, stripped.length() - 1).strip();
                if (!mSections.add(section)) {
                    mDuplicates.put(section, number);
                }
                continue;
            }
            int separator = stripped.indexOf('=');
            if (separator > 0 && !isComment(stripped)) {
                add(section + "." + stripped.substring(0, separator).strip(), number);
            }
        }
    }

    private static boolean isComment(String line) {
        return line.startsWith("#") || line.startsWith(";");
    }

    private void add(String setting, int line) {
        if (mLines.putIfAbsent(setting, line) != null) {
            mDuplicates.put(setting, line);
        }
    }

    /** Returns the duplicate sections and settings with the line of their last occurrence. */
    Map<String, Integer> duplicates() {
        return Map.copyOf(mDuplicates);
    }

    /** Returns the line number of a setting, or 0 if it is not in the file. */
    int lineOf(String section, String key) {
        return mLines.getOrDefault(section + "." + key, 0);
    }
}
