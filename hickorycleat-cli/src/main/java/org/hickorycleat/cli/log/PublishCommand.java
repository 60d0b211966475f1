package org.hickorycleat.cli.log;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.security.SecureRandom;
import java.time.Duration;
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
import org.hickorycleat.cli.admin.AdminAddress;
import org.hickorycleat.cli.admin.VersionWaiter;
import org.hickorycleat.model.configuration.RecordOutcome;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RecordId;
import org.hickorycleat.model.result.ResultCode;

/** Publishes a manifest and reports the result. */
public final class PublishCommand implements Command {
    /**
     * A request that exceeds this timeout counts as lost; its effect is then read from the stream.
     */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final OptionParser mParser = new OptionParser();
    private final NonOptionArgumentSpec<String> mFile = mParser.nonOptions("manifest");
    private final OptionSpec<String> mLogService =
            mParser.accepts("log-service", "address of the log service, http://IP:PORT")
                    .withRequiredArg()
                    .required();
    private final OptionSpec<Long> mBase =
            mParser.accepts("base", "base version that replaces the one in the file")
                    .withRequiredArg()
                    .ofType(Long.class);
    private final OptionSpec<String> mEntries =
            mParser.accepts("wait-entries", "admin IP:PORT,... that must report the version")
                    .withRequiredArg()
                    .withValuesSeparatedBy(',');
    private final OptionSpec<Long> mWaitMs =
            mParser.accepts("wait-ms", "milliseconds to wait for the entries")
                    .withRequiredArg()
                    .ofType(Long.class)
                    .defaultsTo(3_000L);
    private final OptionSpec<Long> mTimeoutMs =
            mParser.accepts("timeout-ms", "milliseconds after which to stop retrying")
                    .withRequiredArg()
                    .ofType(Long.class)
                    .defaultsTo(10_000L);

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public String arguments() {
        return "FILE --log-service URL [--base N] [--wait-entries IP:PORT,...]";
    }

    @Override
    public String summary() {
        return "Publishes a manifest and reports its version";
    }

    @Override
    public OptionParser parser() {
        return mParser;
    }

    @Override
    public Either<CommandFailure, CommandOutput> run(OptionSet options) {
        HttpUrl address = HttpUrl.parse(options.valueOf(mLogService));
        if (address == null) {
            return Either.left(
                    new CommandFailure(ResultCode.USAGE, "--log-service is not a valid URL"));
        }
        return AdminAddress.parseAll(options.valuesOf(mEntries))
                .flatMap(
                        entries ->
                                readFile(options)
                                        .flatMap(file -> publish(file, address, options))
                                        .map(
                                                published ->
                                                        awaitEntries(published, entries, options)));
    }

    private Either<CommandFailure, ManifestFile> readFile(OptionSet options) {
        return ManifestFile.read(options, mFile)
                .map(
                        bytes ->
                                options.has(mBase)
                                        ? ManifestFile.withBase(bytes, options.valueOf(mBase))
                                        : bytes)
                .flatMap(ManifestFile::parse);
    }

    private Either<CommandFailure, PublicationResult> publish(
            ManifestFile file, HttpUrl address, OptionSet options) {
        Duration timeout = Duration.ofMillis(options.valueOf(mTimeoutMs));
        try (LogClient log = new LogClient(address, REQUEST_TIMEOUT)) {
            return new Publisher(log, newRecordId(), timeout)
                    .publish(file.bytes(), file.manifest().base())
                    .flatMap(published -> checkOutcome(published, file));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return Either.left(new CommandFailure(ResultCode.INTERNAL, "interrupted"));
        }
    }

    private static Either<CommandFailure, PublicationResult> checkOutcome(
            PublicationResult published, ManifestFile file) {
        return switch (published.outcome()) {
            case ACCEPTED, REPEATED -> Either.right(published);
            case STALE_BASE ->
                    Either.left(
                            new CommandFailure(
                                    ResultCode.STALE_BASE,
                                    "base is version "
                                            + file.manifest().base()
                                            + ", but the current version is "
                                            + published.version()));
            default ->
                    Either.left(
                            new CommandFailure(
                                    ResultCode.INTERNAL,
                                    "unexpected outcome of the record: " + published.outcome()));
        };
    }

    private CommandOutput awaitEntries(
            PublicationResult published, List<AdminAddress> entries, OptionSet options) {
        boolean isRepeated = published.outcome() == RecordOutcome.REPEATED;
        String outcomeName = isRepeated ? "repeated" : "accepted";
        ObjectNode json = MAPPER.createObjectNode();
        json.put("version", published.version().value()).put("publication", outcomeName);
        String text = outcomeName + " version " + published.version() + "\n";
        if (entries.isEmpty()) {
            return new CommandOutput(json, text);
        }
        Duration timeout = Duration.ofMillis(options.valueOf(mWaitMs));
        VersionWaiter.Result result = VersionWaiter.await(published.version(), entries, timeout);
        json.put("in_force_after_ms", result.elapsedMs()).put("in_force", result.isActive());
        if (result.isActive()) {
            String activeSummary = "in force in " + entries.size() + " entries after ";
            return new CommandOutput(json, text + activeSummary + result.elapsedMs() + " ms\n");
        }
        CommandFailure failure =
                new CommandFailure(
                        ResultCode.NOT_IN_FORCE,
                        "not seen in force within " + timeout.toMillis() + " ms",
                        result.missing());
        return new CommandOutput(json, text, Optional.of(failure));
    }

    private static RecordId newRecordId() {
        long random = new SecureRandom().nextLong();
        ProcessId writer = new ProcessId("hickorycleat-" + Long.toHexString(random));
        return new RecordId(writer, new Incarnation(System.currentTimeMillis()), 0);
    }
}
