package org.hickorycleat.daemon.settings;

/**
 * A mistake in a settings file.
 *
 * @param file the file
 * @param line line from 1, or 0 when the setting is missing
 * @param setting section and key
 * @param message what is wrong and what was expected
 */
public record SettingError(String file, int line, String setting, String message) {
    @Override
    public String toString() {
        String place = line == 0 ? file : file + ":" + line;
        return place + ": " + setting + ": " + message;
    }
}
