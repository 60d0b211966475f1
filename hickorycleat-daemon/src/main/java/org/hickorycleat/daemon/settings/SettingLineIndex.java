package org.hickorycleat.daemon.settings;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Line numbers and repetitions of the settings of a file, which the INI library does not keep. */
final class SettingLineIndex {
    private final Map<String, Integer> mLines = new HashMap<>();
    private final Map<String, Integer> mRepeated = new LinkedHashMap<>();
    private final Set<String> mSections = new HashSet<>();

    SettingLineIndex(String text) {
        String section = "";
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            String clean = line.strip();
            if (clean.startsWith("[") && clean.endsWith("]")) {
                section = clean.substring(1, clean.length() - 1).strip();
                if (!mSections.add(section)) {
                    mRepeated.put(section, number);
                }
                continue;
            }
            int equals = clean.indexOf('=');
            if (equals > 0 && !isComment(clean)) {
                add(section + "." + clean.substring(0, equals).strip(), number);
            }
        }
    }

    private static boolean isComment(String line) {
        return line.startsWith("#") || line.startsWith(";");
    }

    private void add(String setting, int line) {
        if (mLines.putIfAbsent(setting, line) != null) {
            mRepeated.put(setting, line);
        }
    }

    /** Returns the sections and settings that are given again, with the line of the last time. */
    Map<String, Integer> duplicates() {
        return Map.copyOf(mRepeated);
    }

    /** Returns the line of a setting, or 0 when it is not in the file. */
    int lineOf(String section, String key) {
        return mLines.getOrDefault(section + "." + key, 0);
    }
}
