package org.hickorycleat.daemon.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ini4j.Ini;

/** Reads the settings of an INI file and collects all errors. */
final class SettingsReader {
    private final String mFile;
    private final Ini mIni;
    private final SettingLineIndex mLineIndex;
    private final List<SettingError> mErrors = new ArrayList<>();
    private final Set<String> mRequestedSettings = new HashSet<>();

    SettingsReader(String file, Ini ini, SettingLineIndex lines) {
        mFile = file;
        mIni = ini;
        mLineIndex = lines;
    }

    /**
     * Reads a mandatory setting; returns the fallback if the setting is missing or invalid, after
     * recording the error.
     */
    <T> T required(String section, String key, ValueParser<T> parser, T fallback) {
        Optional<T> value = optional(section, key, parser);
        if (value.isEmpty() && readText(section, key).isEmpty()) {
            mErrors.add(new SettingError(mFile, 0, settingName(section, key), "missing"));
        }
        return value.orElse(fallback);
    }

    /** Reads an optional setting; empty if it is absent or invalid. */
    <T> Optional<T> optional(String section, String key, ValueParser<T> parser) {
        mRequestedSettings.add(settingName(section, key));
        Optional<String> text = readText(section, key);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        Either<String, T> parsed = parser.parse(text.get());
        if (parsed.isLeft()) {
            addError(section, key, parsed.getLeft() + ", found '" + text.get() + "'");
            return Optional.empty();
        }
        return Optional.of(parsed.get());
    }

    /** Records an error with the line number of a setting. */
    void addError(String section, String key, String message) {
        int line = mLineIndex.lineOf(section, key);
        mErrors.add(new SettingError(mFile, line, settingName(section, key), message));
    }

    /** Returns all errors, including those for unknown and duplicate settings. */
    List<SettingError> errors() {
        for (Map.Entry<String, org.ini4j.Profile.Section> section : mIni.entrySet()) {
            for (String key : section.getValue().keySet()) {
                if (!mRequestedSettings.contains(settingName(section.getKey(), key))) {
                    addError(section.getKey(), key, "unknown setting for this role");
                }
            }
        }
        mLineIndex
                .duplicates()
                .forEach(
                        (setting, line) ->
                                mErrors.add(
                                        new SettingError(
                                                mFile, line, setting, "specified more than once")));
        return List.copyOf(mErrors);
    }

    private Optional<String> readText(String section, String key) {
        return Optional.ofNullable(mIni.get(section, key)).map(String::strip);
    }

    private static String settingName(String section, String key) {
        return section + "." + key;
    }
}
