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

/** A command that sends a request to each process given on the command line. */
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
        String argumentNames = String.join(" ", mArgumentNames);
        return (argumentNames.isEmpty() ? "" : argumentNames + " ")
                + "--admin IP:PORT [--admin IP:PORT]...";
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
                .flatMap(addresses -> sendToAll(addresses, arguments, timeout));
    }

    private Either<CommandFailure, CommandOutput> sendToAll(
            List<AdminAddress> addresses, List<String> arguments, Duration timeout) {
        List<AdminResponse> responses = new ArrayList<>();
        List<CommandFailure> failures = new ArrayList<>();
        try (AdminClient client = new AdminClient(timeout)) {
            for (AdminAddress address : addresses) {
                mRequest.send(client, address, arguments)
                        .peek(json -> responses.add(new AdminResponse(address, json)))
                        .peekLeft(failures::add);
            }
        }
        if (!responses.isEmpty()) {
            // A task belongs to one shard, so every entry except the owner of that shard responds
            // that the task is unknown.
            failures.removeIf(failure -> failure.code() == ResultCode.NOT_FOUND);
        }
        Optional<CommandFailure> failure = combine(failures);
        if (responses.isEmpty() && failure.isPresent()) {
            return Either.left(failure.get());
        }
        return Either.right(
                new CommandOutput(toJson(responses), mRenderer.render(responses), failure));
    }

    /** Combines failures into one with the code of the first. */
    private static Optional<CommandFailure> combine(List<CommandFailure> failures) {
        if (failures.isEmpty()) {
            return Optional.empty();
        }
        List<String> otherDetails = failures.stream().skip(1).map(CommandFailure::detail).toList();
        CommandFailure first = failures.get(0);
        return Optional.of(new CommandFailure(first.code(), first.detail(), otherDetails));
    }

    private static JsonNode toJson(List<AdminResponse> responses) {
        ArrayNode array = MAPPER.createArrayNode();
        for (AdminResponse response : responses) {
            ObjectNode item = array.addObject().put("admin", response.address().text());
            item.set("answer", response.json());
        }
        return array;
    }
}
