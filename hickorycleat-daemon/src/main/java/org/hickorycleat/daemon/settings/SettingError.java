package org.hickorycleat.daemon.settings;

/**
 * An error in a settings file.
 *
 * @param file path of the file
 * @param line line number from 1, or 0 if the setting is missing
 * @param setting section and key, separated by a dot
 * @param message description of the error and of the expected value
 */
public record SettingError(String file, int line, String setting, String message) {
    @Override
    public String toString() {
        String place = line == 0 ? file : file + ":" + line;
        return place + ": " + setting + ": " + message;
    }
}
