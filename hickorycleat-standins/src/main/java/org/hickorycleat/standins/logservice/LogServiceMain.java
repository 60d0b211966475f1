package org.hickorycleat.standins.logservice;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Runs the stand-in of the log service as a process. */
public final class LogServiceMain {
    private static final int EXIT_USAGE = 7;

    /** Root logger; the field keeps it, and thus its level, from being garbage-collected. */
    private static final Logger LIBRARY_LOG = Logger.getLogger("");

    private LogServiceMain() {}

    /** Starts the server and runs until the process is stopped. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        LIBRARY_LOG.setLevel(Level.WARNING);
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> port =
                parser.accepts("port", "port on loopback, 0 for a free one")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(0);
        OptionSpec<Integer> maximumRecords =
                parser.accepts("retention-records", "records kept per stream")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(Integer.MAX_VALUE);
        OptionSpec<Long> maximumAgeMs =
                parser.accepts("retention-ms", "milliseconds for which records are kept")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .defaultsTo(Long.MAX_VALUE);
        OptionSpec<Long> seed =
                parser.accepts("seed", "seed for choosing the responses to lose")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .defaultsTo(1L);
        parser.accepts("help", "print this help").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has("help")) {
                parser.printHelpOn(System.out);
                return;
            }
            LogRetention retention =
                    new LogRetention(
                            options.valueOf(maximumRecords), options.valueOf(maximumAgeMs));
            LogServer server =
                    LogServer.start(options.valueOf(port), retention, options.valueOf(seed));
            System.out.println("event=log-service-listening port=" + server.port());
            new CountDownLatch(1).await();
        } catch (OptionException exception) {
            System.err.println(exception.getMessage());
            System.exit(EXIT_USAGE);
        }
    }
}
