package org.hickorycleat.daemon.settings;

import java.util.HashMap;
import java.util.Map;

/** Line numbers of the settings of a file, which the INI library does not keep. */
final class SettingLines {
    private final Map<String, Integer> mLines = new HashMap<>();

    SettingLines(String text) {
        String section = "";
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            String clean = line.strip();
            if (clean.startsWith("[") && clean.endsWith("]")) {
                section = clean.substring(1, clean.length() - 1).strip();
                continue;
            }
            int equals = clean.indexOf('=');
            if (equals > 0) {
                mLines.put(section + "." + clean.substring(0, equals).strip(), number);
            }
        }
    }

    /** Returns the line of a setting, or 0 when it is not in the file. */
    int lineOf(String section, String key) {
        return mLines.getOrDefault(section + "." + key, 0);
    }
}
