package org.hickorycleat.cli;

import java.time.Clock;
import java.util.List;
import org.hickorycleat.cli.admin.AdminCommands;
import org.hickorycleat.cli.log.CheckCommand;
import org.hickorycleat.cli.log.PublishCommand;
import org.hickorycleat.cli.log.ValidateCommand;

/** Entry point of the binary {@code hickorycleat}. */
public final class Main {
    private Main() {}

    /** Runs a command and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(commands(), System.out, System.err).run(arguments));
    }

    /** Returns all commands in the order shown in the help. */
    public static List<Command> commands() {
        return List.of(
                new PublishCommand(),
                new ValidateCommand(),
                new CheckCommand(Clock.systemUTC()),
                AdminCommands.status(),
                AdminCommands.jobs(),
                AdminCommands.explain(),
                AdminCommands.drain(),
                AdminCommands.dump());
    }
}
