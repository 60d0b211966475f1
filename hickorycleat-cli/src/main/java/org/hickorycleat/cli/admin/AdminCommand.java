package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import joptsimple.NonOptionArgumentSpec;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.hickorycleat.cli.Command;
import org.hickorycleat.cli.CommandFailure;
import org.hickorycleat.cli.CommandOutput;
import org.hickorycleat.model.result.ResultCode;

/** A command that asks each of the processes named on the command line. */
final class AdminCommand implements Command {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String mName;
    private final String mSummary;
    private final List<String> mArgumentNames;
    private final AdminRequest mRequest;
    private final AdminRenderer mRenderer;
    private final OptionParser mParser = new OptionParser();
    private final NonOptionArgumentSpec<String> mArguments = mParser.nonOptions();
    private final OptionSpec<String> mAdmin =
            mParser.accepts("admin", "admin IP:PORT of a process; may be given several times")
                    .withRequiredArg()
                    .required();
    private final OptionSpec<Long> mTimeoutMs =
            mParser.accepts("timeout-ms", "milliseconds to wait for each process")
                    .withRequiredArg()
                    .ofType(Long.class)
                    .defaultsTo(3_000L);

    AdminCommand(
            String name,
            String summary,
            List<String> argumentNames,
            AdminRequest request,
            AdminRenderer renderer) {
        mName = name;
        mSummary = summary;
        mArgumentNames = argumentNames;
        mRequest = request;
        mRenderer = renderer;
    }

    @Override
    public String name() {
        return mName;
    }

    @Override
    public String arguments() {
        String names = String.join(" ", mArgumentNames);
        return (names.isEmpty() ? "" : names + " ") + "--admin IP:PORT [--admin IP:PORT]...";
    }

    @Override
    public String summary() {
        return mSummary;
    }

    @Override
    public OptionParser parser() {
        return mParser;
    }

    @Override
    public Either<CommandFailure, CommandOutput> run(OptionSet options) {
        List<String> arguments = options.valuesOf(mArguments);
        if (arguments.size() != mArgumentNames.size()) {
            return Either.left(
                    new CommandFailure(ResultCode.USAGE, "usage: " + mName + " " + arguments()));
        }
        Duration timeout = Duration.ofMillis(options.valueOf(mTimeoutMs));
        return AdminAddress.parseAll(options.valuesOf(mAdmin))
                .flatMap(addresses -> ask(addresses, arguments, timeout));
    }

    private Either<CommandFailure, CommandOutput> ask(
            List<AdminAddress> addresses, List<String> arguments, Duration timeout) {
        List<AdminResponse> answers = new ArrayList<>();
        List<CommandFailure> failures = new ArrayList<>();
        try (AdminClient client = new AdminClient(timeout)) {
            for (AdminAddress address : addresses) {
                mRequest.send(client, address, arguments)
                        .peek(json -> answers.add(new AdminResponse(address, json)))
                        .peekLeft(failures::add);
            }
        }
        if (!answers.isEmpty()) {
            // A task is held by one shard, so all but one of the entries do not know it.
            failures.removeIf(failure -> failure.code() == ResultCode.NOT_FOUND);
        }
        Optional<CommandFailure> failure = join(failures);
        if (answers.isEmpty() && failure.isPresent()) {
            return Either.left(failure.get());
        }
        return Either.right(new CommandOutput(json(answers), mRenderer.render(answers), failure));
    }

    /** Joins failures under the first code. */
    private static Optional<CommandFailure> join(List<CommandFailure> failures) {
        if (failures.isEmpty()) {
            return Optional.empty();
        }
        List<String> rest = failures.stream().skip(1).map(CommandFailure::detail).toList();
        CommandFailure first = failures.get(0);
        return Optional.of(new CommandFailure(first.code(), first.detail(), rest));
    }

    private static JsonNode json(List<AdminResponse> answers) {
        ArrayNode list = MAPPER.createArrayNode();
        for (AdminResponse answer : answers) {
            ObjectNode item = list.addObject().put("admin", answer.address().text());
            item.set("answer", answer.json());
        }
        return list;
    }
}
