package org.hickorycleat.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Exit code and output of one run of the command line. */
record CommandRun(int exitCode, String output, String errors) {
    static CommandRun of(String... arguments) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        int exitCode =
                new CommandLine(
                                Main.commands(),
                                new PrintStream(output, false, StandardCharsets.UTF_8),
                                new PrintStream(errors, false, StandardCharsets.UTF_8))
                        .run(arguments);
        return new CommandRun(
                exitCode,
                output.toString(StandardCharsets.UTF_8),
                errors.toString(StandardCharsets.UTF_8));
    }
}
