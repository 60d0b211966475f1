package org.hickorycleat.cli;

import io.vavr.control.Either;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One command of the command line. */
public interface Command {
    /** Returns the word that selects it. */
    String name();

    /** Returns its arguments, as shown in the help. */
    String arguments();

    /** Returns one line that says what it does. */
    String summary();

    /** Returns the parser of its options. */
    OptionParser parser();

    /** Runs it. */
    Either<CommandFailure, CommandOutput> run(OptionSet options);
}
