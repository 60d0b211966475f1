package org.hickorycleat.cli.log;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import joptsimple.NonOptionArgumentSpec;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import okhttp3.HttpUrl;
import org.hickorycleat.cli.Command;
import org.hickorycleat.cli.CommandFailure;
import org.hickorycleat.cli.CommandOutput;
import org.hickorycleat.cli.TextWrap;
import org.hickorycleat.model.configuration.AcceptedConfiguration;
import org.hickorycleat.model.configuration.ConfigurationHistory;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.ManifestChange;
import org.hickorycleat.model.manifest.ManifestDifference;
import org.hickorycleat.model.manifest.ManifestFinding;
import org.hickorycleat.model.manifest.ManifestInspector;
import org.hickorycleat.model.result.ResultCode;

/**
 * Checks a manifest before it is published: errors, entries that never apply, limits that
 * contradict each other, and differences from the version in force.
 */
public final class CheckCommand implements Command {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Clock mClock;
    private final OptionParser mParser = new OptionParser();
    private final NonOptionArgumentSpec<String> mFile = mParser.nonOptions("manifest");
    private final OptionSpec<String> mLogService =
            mParser.accepts("log-service", "address of the log service, http://IP:PORT")
                    .withRequiredArg();
    private final OptionSpec<String> mCurrent =
            mParser.accepts("current", "file with the manifest in force")
                    .availableUnless("log-service")
                    .withRequiredArg();

    /**
     * What a manifest is compared with.
     *
     * @param manifest manifest in force; empty if there is none or it was not asked for
     * @param version version in force; empty if it was not asked for
     */
    private record Reference(Optional<Manifest> manifest, Optional<ConfigurationVersion> version) {}

    /** Creates the command; the clock decides which deadlines have passed. */
    public CheckCommand(Clock clock) {
        mClock = clock;
    }

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String arguments() {
        return "FILE [--log-service URL | --current FILE]";
    }

    @Override
    public String summary() {
        return "Checks a manifest and compares it with the version in force";
    }

    @Override
    public OptionParser parser() {
        return mParser;
    }

    @Override
    public Either<CommandFailure, CommandOutput> run(OptionSet options) {
        return ManifestFile.read(options, mFile)
                .flatMap(ManifestFile::parse)
                .flatMap(
                        file ->
                                reference(options)
                                        .map(reference -> output(file.manifest(), reference)));
    }

    private Either<CommandFailure, Reference> reference(OptionSet options) {
        if (options.has(mCurrent)) {
            return readFile(options.valueOf(mCurrent))
                    .flatMap(ManifestFile::parse)
                    .map(file -> new Reference(Optional.of(file.manifest()), Optional.empty()));
        }
        if (!options.has(mLogService)) {
            return Either.right(new Reference(Optional.empty(), Optional.empty()));
        }
        HttpUrl address = HttpUrl.parse(options.valueOf(mLogService));
        return address == null
                ? Either.left(
                        new CommandFailure(ResultCode.USAGE, "--log-service is not a valid URL"))
                : readLog(address);
    }

    private static Either<CommandFailure, byte[]> readFile(String name) {
        try {
            return Either.right(Files.readAllBytes(Path.of(name)));
        } catch (IOException exception) {
            return Either.left(
                    new CommandFailure(ResultCode.NOT_FOUND, "cannot read the file " + name));
        }
    }

    private static Either<CommandFailure, Reference> readLog(HttpUrl address) {
        try (LogClient log = new LogClient(address, REQUEST_TIMEOUT)) {
            HistoryReader reader = new HistoryReader(log);
            reader.readToEnd((record, result) -> {});
            ConfigurationHistory history = reader.history();
            return history.isVersionKnown()
                    ? Either.right(
                            new Reference(
                                    history.current().map(AcceptedConfiguration::manifest),
                                    Optional.of(history.version())))
                    : Either.left(
                            new CommandFailure(
                                    ResultCode.NO_CONFIGURATION, Publisher.VERSION_UNKNOWN));
        } catch (IOException exception) {
            return Either.left(
                    new CommandFailure(
                            ResultCode.LOG_UNAVAILABLE,
                            exception.getMessage() + "; nothing was published"));
        }
    }

    private CommandOutput output(Manifest manifest, Reference reference) {
        Optional<Manifest> current = reference.manifest();
        List<ManifestFinding> findings = new ArrayList<>();
        reference
                .version()
                .filter(version -> !version.equals(manifest.base()))
                .ifPresent(version -> findings.add(staleBase(manifest, version)));
        findings.addAll(ManifestInspector.inspect(manifest, current, mClock.instant()));
        List<ManifestChange> changes =
                current.map(before -> ManifestDifference.between(before, manifest))
                        .orElse(List.of());
        ObjectNode json = MAPPER.createObjectNode().put("compared", current.isPresent());
        ArrayNode findingList = json.putArray("findings");
        findings.forEach(
                finding ->
                        findingList
                                .addObject()
                                .put("kind", finding.kind().name())
                                .put("path", finding.path())
                                .put("detail", finding.detail()));
        ArrayNode changeList = json.putArray("changes");
        changes.forEach(
                change ->
                        changeList
                                .addObject()
                                .put("kind", change.kind().name())
                                .put("entry", change.entry())
                                .put("detail", change.detail()));
        return new CommandOutput(json, text(changes, current), failure(findings));
    }

    private static ManifestFinding staleBase(Manifest manifest, ConfigurationVersion version) {
        return new ManifestFinding(
                ManifestFinding.Kind.NEVER_APPLIES,
                "$.base",
                "is " + manifest.base() + ", but the version in force is " + version);
    }

    private static String text(List<ManifestChange> changes, Optional<Manifest> current) {
        if (current.isEmpty()) {
            return "valid; not compared with a version in force\n";
        }
        if (changes.isEmpty()) {
            return "valid; no changes\n";
        }
        List<String> lines = new ArrayList<>();
        lines.add("valid; changes: " + changes.size() + "\n");
        changes.forEach(change -> lines.add(TextWrap.wrap("  " + change, "    ")));
        return String.join("", lines);
    }

    private static Optional<CommandFailure> failure(List<ManifestFinding> findings) {
        return findings.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new CommandFailure(
                                ResultCode.DOUBTFUL_MANIFEST,
                                findings.size() == 1 ? "1 finding" : findings.size() + " findings",
                                findings.stream().map(ManifestFinding::toString).toList()));
    }
}
