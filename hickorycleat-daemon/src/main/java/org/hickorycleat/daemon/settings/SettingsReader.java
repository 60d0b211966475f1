package org.hickorycleat.daemon.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ini4j.Ini;

/** Reads settings of an INI file one by one and collects every error. */
final class SettingsReader {
    private final String mFile;
    private final Ini mIni;
    private final SettingLineIndex mLines;
    private final List<SettingError> mErrors = new ArrayList<>();
    private final Set<String> mKnown = new HashSet<>();

    SettingsReader(String file, Ini ini, SettingLineIndex lines) {
        mFile = file;
        mIni = ini;
        mLines = lines;
    }

    /** Reads a setting that must be there; the fallback only stands in after an error. */
    <T> T required(String section, String key, ValueParser<T> parser, T fallback) {
        Optional<T> value = optional(section, key, parser);
        if (value.isEmpty() && text(section, key).isEmpty()) {
            mErrors.add(new SettingError(mFile, 0, name(section, key), "missing"));
        }
        return value.orElse(fallback);
    }

    /** Reads a setting that may be absent. */
    <T> Optional<T> optional(String section, String key, ValueParser<T> parser) {
        mKnown.add(name(section, key));
        Optional<String> text = text(section, key);
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

    /** Adds an error about a setting that was read. */
    void addError(String section, String key, String message) {
        int line = mLines.lineOf(section, key);
        mErrors.add(new SettingError(mFile, line, name(section, key), message));
    }

    /** Returns all errors, those for settings that nobody asked for included. */
    List<SettingError> errors() {
        for (Map.Entry<String, org.ini4j.Profile.Section> section : mIni.entrySet()) {
            for (String key : section.getValue().keySet()) {
                if (!mKnown.contains(name(section.getKey(), key))) {
                    addError(section.getKey(), key, "unknown setting for this role");
                }
            }
        }
        mLines.duplicates()
                .forEach(
                        (setting, line) ->
                                mErrors.add(new SettingError(mFile, line, setting, "given twice")));
        return List.copyOf(mErrors);
    }

    private Optional<String> text(String section, String key) {
        return Optional.ofNullable(mIni.get(section, key)).map(String::strip);
    }

    private static String name(String section, String key) {
        return section + "." + key;
    }
}
