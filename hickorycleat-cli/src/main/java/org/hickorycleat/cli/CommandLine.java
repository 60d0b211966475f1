package org.hickorycleat.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.BuiltinHelpFormatter;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.hickorycleat.model.result.ResultCode;

/** Dispatches the arguments to a command and prints its result. */
public final class CommandLine {
    private static final String PROGRAM_NAME = "hickorycleat";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<Command> mCommands;
    private final PrintStream mOutput;
    private final PrintStream mErrors;

    /** Creates a command line that prints results and errors to the given streams. */
    public CommandLine(List<Command> commands, PrintStream output, PrintStream errors) {
        mCommands = List.copyOf(commands);
        mOutput = output;
        mErrors = errors;
    }

    /** Runs the command that the arguments name and returns the exit code. */
    public int run(String... arguments) {
        if (arguments.length == 0) {
            return reportFailure(
                    usageFailure("no command specified, see " + PROGRAM_NAME + " help"), false);
        }
        String name = arguments[0];
        List<String> remaining = Arrays.asList(arguments).subList(1, arguments.length);
        if (name.equals("help") || name.equals("--help")) {
            return help(remaining.stream().findFirst());
        }
        return findCommand(name)
                .map(command -> run(command, remaining.toArray(new String[0])))
                .orElseGet(() -> reportFailure(usageFailure("unknown command " + name), false));
    }

    private int run(Command command, String[] arguments) {
        OptionParser parser = command.parser();
        parser.accepts("output", "human-readable text or machine-readable json")
                .withRequiredArg()
                .withValuesConvertedBy(new OutputFormatConverter())
                .defaultsTo(OutputFormat.TEXT);
        parser.accepts("help", "print this help").forHelp();
        OptionSet options;
        try {
            options = parser.parse(arguments);
            // Values are converted on access; accessing all of them here detects invalid ones.
            options.specs().forEach(options::valuesOf);
        } catch (OptionException exception) {
            return reportFailure(usageFailure(String.valueOf(exception.getMessage())), false);
        }
        if (options.has("help")) {
            return help(Optional.of(command.name()));
        }
        boolean isJson = options.valueOf("output") == OutputFormat.JSON;
        Either<CommandFailure, CommandOutput> result = command.run(options);
        return result.isLeft()
                ? reportFailure(result.getLeft(), isJson)
                : print(result.get(), isJson);
    }

    private int print(CommandOutput output, boolean isJson) {
        mOutput.print(isJson ? output.json() + "\n" : output.text());
        mOutput.flush();
        return output.failure().map(failure -> reportFailure(failure, isJson)).orElse(0);
    }

    private int reportFailure(CommandFailure failure, boolean isJson) {
        ResultCode code = failure.code();
        if (isJson) {
            ObjectNode json = MAPPER.createObjectNode();
            ObjectNode error = json.putObject("error");
            error.put("number", code.number()).put("name", code.name());
            error.put("detail", failure.detail());
            ArrayNode items = error.putArray("items");
            failure.items().forEach(items::add);
            mErrors.println(json);
        } else {
            String line = "error " + code.number() + " " + code.name() + ": " + failure.detail();
            mErrors.print(TextWrap.wrap(line, "  "));
            failure.items().forEach(item -> mErrors.print(TextWrap.wrap("  " + item, "    ")));
        }
        mErrors.flush();
        return code.exitCode();
    }

    private int help(Optional<String> name) {
        if (name.isEmpty()) {
            mOutput.print(overview());
            return 0;
        }
        Optional<Command> command = findCommand(name.get());
        if (command.isEmpty()) {
            return reportFailure(usageFailure("unknown command " + name.get()), false);
        }
        mOutput.print(help(command.get()));
        return 0;
    }

    private String overview() {
        TextTable table = new TextTable("command", "what it does");
        for (Command command : mCommands) {
            table.row(command.name(), command.summary());
        }
        return "usage: "
                + PROGRAM_NAME
                + " COMMAND [ARGUMENT...] [--output json|text]\n\n"
                + table.render()
                + "\n"
                + TextWrap.wrap(
                        "'"
                                + PROGRAM_NAME
                                + " help COMMAND' explains a command. The exit code is 0, or the"
                                + " hundreds of the result code plus one; see"
                                + " docs/result-codes.md.",
                        "");
    }

    private static String help(Command command) {
        OptionParser parser = command.parser();
        parser.accepts("output", "human-readable text or machine-readable json")
                .withRequiredArg()
                .defaultsTo("text");
        parser.accepts("help", "print this help").forHelp();
        parser.formatHelpWith(new BuiltinHelpFormatter(TextTable.COLUMNS, 2));
        StringWriter options = new StringWriter();
        try {
            parser.printHelpOn(options);
        } catch (IOException exception) {
            throw new IllegalStateException("cannot write help to a string", exception);
        }
        String usageLine =
                "usage: " + PROGRAM_NAME + " " + command.name() + " " + command.arguments();
        return TextWrap.wrap(usageLine, "  ")
                + "\n"
                + TextWrap.wrap(command.summary() + ".", "")
                + "\n"
                + options;
    }

    private Optional<Command> findCommand(String name) {
        return mCommands.stream().filter(command -> command.name().equals(name)).findFirst();
    }

    private static CommandFailure usageFailure(String detail) {
        return new CommandFailure(ResultCode.USAGE, detail);
    }
}
