package org.hickorycleat.cli;

import io.vavr.control.Either;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A command of the command line. */
public interface Command {
    /** Returns the name that selects the command. */
    String name();

    /** Returns the argument syntax shown in the help. */
    String arguments();

    /** Returns a one-line summary for the help. */
    String summary();

    /** Returns the parser of the options. */
    OptionParser parser();

    /** Runs the command; the left side is a failure without any output. */
    Either<CommandFailure, CommandOutput> run(OptionSet options);
}
