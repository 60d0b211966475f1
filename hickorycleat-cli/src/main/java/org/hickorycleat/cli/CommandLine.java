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

/** Finds the command, runs it and prints its result. */
public final class CommandLine {
    private static final String PROGRAM = "hickorycleat";
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
            return fail(usage("no command given, see " + PROGRAM + " help"), false);
        }
        String name = arguments[0];
        List<String> rest = Arrays.asList(arguments).subList(1, arguments.length);
        if (name.equals("help") || name.equals("--help")) {
            return help(rest.stream().findFirst());
        }
        return find(name)
                .map(command -> run(command, rest.toArray(new String[0])))
                .orElseGet(() -> fail(usage("no command " + name), false));
    }

    private int run(Command command, String[] arguments) {
        OptionParser parser = command.parser();
        parser.accepts("output", "text for people or json for programs")
                .withRequiredArg()
                .withValuesConvertedBy(new OutputFormatConverter())
                .defaultsTo(OutputFormat.TEXT);
        parser.accepts("help", "print this help").forHelp();
        OptionSet options;
        try {
            options = parser.parse(arguments);
            // Values are converted on access; this finds those that are wrong.
            options.specs().forEach(options::valuesOf);
        } catch (OptionException exception) {
            return fail(usage(String.valueOf(exception.getMessage())), false);
        }
        if (options.has("help")) {
            return help(Optional.of(command.name()));
        }
        boolean isJson = options.valueOf("output") == OutputFormat.JSON;
        Either<CommandFailure, CommandOutput> result = command.run(options);
        return result.isLeft() ? fail(result.getLeft(), isJson) : print(result.get(), isJson);
    }

    private int print(CommandOutput output, boolean isJson) {
        mOutput.print(isJson ? output.json() + "\n" : output.text());
        mOutput.flush();
        return output.failure().map(failure -> fail(failure, isJson)).orElse(0);
    }

    private int fail(CommandFailure failure, boolean isJson) {
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
        Optional<Command> command = find(name.get());
        if (command.isEmpty()) {
            return fail(usage("no command " + name.get()), false);
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
                + PROGRAM
                + " COMMAND [ARGUMENT...] [--output json|text]\n\n"
                + table.render()
                + "\n"
                + TextWrap.wrap(
                        "'"
                                + PROGRAM
                                + " help COMMAND' explains a command. The exit code is 0, or the"
                                + " hundreds of the result code plus one; see"
                                + " docs/result-codes.md.",
                        "");
    }

    private static String help(Command command) {
        OptionParser parser = command.parser();
        parser.accepts("output", "text for people or json for programs")
                .withRequiredArg()
                .defaultsTo("text");
        parser.accepts("help", "print this help").forHelp();
        parser.formatHelpWith(new BuiltinHelpFormatter(TextTable.COLUMNS, 2));
        StringWriter options = new StringWriter();
        try {
            parser.printHelpOn(options);
        } catch (IOException exception) {
            throw new IllegalStateException("a string cannot be written", exception);
        }
        String first = "usage: " + PROGRAM + " " + command.name() + " " + command.arguments();
        return TextWrap.wrap(first, "  ")
                + "\n"
                + TextWrap.wrap(command.summary() + ".", "")
                + "\n"
                + options;
    }

    private Optional<Command> find(String name) {
        return mCommands.stream().filter(command -> command.name().equals(name)).findFirst();
    }

    private static CommandFailure usage(String detail) {
        return new CommandFailure(ResultCode.USAGE, detail);
    }
}
