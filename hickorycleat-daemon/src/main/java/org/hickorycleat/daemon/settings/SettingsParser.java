package org.hickorycleat.daemon.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.ini4j.Config;
import org.ini4j.Ini;

/** Parses and validates a settings file; docs/settings.md describes the format. */
public final class SettingsParser {
    private static final Duration DEFAULT_DRAIN_LIMIT = Duration.ofSeconds(30);
    private static final Duration DEFAULT_KEY_VALIDITY = Duration.ofSeconds(60);
    private static final int DEFAULT_MAXIMUM_LINKS = 8;
    private static final int MAXIMUM_LINKS_LIMIT = 64;
    private static final String BYTE_ORDER_MARK = "\uFEFF";
    private static final InetSocketAddress NO_ADDRESS = InetSocketAddress.createUnresolved("-", 0);

    private SettingsParser() {}

    /** Parses a file; the left side lists all errors. */
    public static Either<List<SettingError>, DaemonSettings> parse(Path file) {
        try {
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            return Either.left(
                    List.of(new SettingError(file.toString(), 0, "file", "cannot be read: " + e)));
        }
    }

    /** Parses the content of a file; the left side lists all errors. */
    public static Either<List<SettingError>, DaemonSettings> parse(String file, String content) {
        String text = content.startsWith(BYTE_ORDER_MARK) ? content.substring(1) : content;
        Ini ini = new Ini();
        Config configuration = new Config();
        configuration.setEscape(false);
        configuration.setGlobalSection(true);
        configuration.setGlobalSectionName("(none)");
        ini.setConfig(configuration);
        try {
            ini.load(new StringReader(text));
        } catch (IOException e) {
            return Either.left(
                    List.of(new SettingError(file, 0, "file", "not valid INI: " + e.getMessage())));
        }
        return readSettings(new SettingsReader(file, ini, new SettingLineIndex(text)));
    }

    private static Either<List<SettingError>, DaemonSettings> readSettings(SettingsReader reader) {
        String role = reader.required("process", "role", SettingsParser::parseRole, "");
        String process = reader.required("process", "id", ValueParser::name, "invalid");
        String zone = reader.required("process", "availability_zone", ValueParser::name, "invalid");
        InetSocketAddress adminListen =
                reader.required("process", "admin_listen", ValueParser::address, NO_ADDRESS);
        Duration drainLimit =
                reader.optional("process", "drain_limit", ValueParser::duration)
                        .orElse(DEFAULT_DRAIN_LIMIT);
        Level logLevel =
                reader.optional("process", "log_level", SettingsParser::parseLogLevel)
                        .orElse(Level.INFO);
        Optional<EntrySettings> entry =
                role.equals("entry") ? Optional.of(readEntry(reader)) : Optional.empty();
        Optional<AgentSettings> agent =
                role.equals("agent") ? Optional.of(readAgent(reader)) : Optional.empty();
        List<SettingError> errors = reader.errors();
        if (!errors.isEmpty()) {
            return Either.left(errors);
        }
        return Either.right(
                new DaemonSettings(
                        new ProcessId(process),
                        new ZoneId(zone),
                        adminListen,
                        drainLimit,
                        logLevel,
                        entry,
                        agent));
    }

    private static EntrySettings readEntry(SettingsReader reader) {
        return new EntrySettings(
                reader.required("entry", "caller_listen", ValueParser::address, NO_ADDRESS),
                reader.required("entry", "peer_listen", ValueParser::address, NO_ADDRESS),
                reader.optional("entry", "peers", ValueParser::addresses).orElse(List.of()),
                reader.required("entry", "log_service", ValueParser::url, ""));
    }

    private static AgentSettings readAgent(SettingsReader reader) {
        return new AgentSettings(
                reader.required("agent", "entries", ValueParser::addresses, List.of()),
                reader.optional(
                                "agent",
                                "maximum_links",
                                ValueParser.positive(MAXIMUM_LINKS_LIMIT)::apply)
                        .orElse(DEFAULT_MAXIMUM_LINKS),
                reader.optional("agent", "key_validity", ValueParser::duration)
                        .orElse(DEFAULT_KEY_VALIDITY),
                reader.optional("agent", "worker", ValueParser::url));
    }

    private static Either<String, String> parseRole(String text) {
        return text.equals("entry") || text.equals("agent")
                ? Either.right(text)
                : Either.left("expected entry or agent");
    }

    private static Either<String, Level> parseLogLevel(String text) {
        return switch (text) {
            case "debug" -> Either.right(Level.FINE);
            case "info" -> Either.right(Level.INFO);
            case "warn" -> Either.right(Level.WARNING);
            case "error" -> Either.right(Level.SEVERE);
            default -> Either.left("expected debug, info, warn or error");
        };
    }
}
