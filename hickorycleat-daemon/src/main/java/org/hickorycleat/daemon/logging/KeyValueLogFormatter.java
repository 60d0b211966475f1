package org.hickorycleat.daemon.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Formats log records as one line of key=value pairs, and configures logging to standard output.
 */
public final class KeyValueLogFormatter extends Formatter {
    private static final String ROOT_PACKAGE = "org.hickorycleat";

    /**
     * Configures all logs of the process to use this formatter, and sets the level of the logs of
     * this project.
     */
    public static void configureLogging(Level level) {
        System.setProperty("org.jboss.logging.provider", "jdk");
        Logger root = Logger.getLogger("");
        for (java.util.logging.Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        RateLimitedLogHandler handler =
                new RateLimitedLogHandler(
                        new PrintStream(
                                new FileOutputStream(FileDescriptor.out),
                                false,
                                StandardCharsets.UTF_8));
        handler.setLevel(Level.ALL);
        root.addHandler(handler);
        // Libraries log only warnings and errors.
        root.setLevel(Level.WARNING);
        sRootPackageLogger.setLevel(level);
    }

    // A strong reference: the log manager holds loggers weakly, and the level is lost with the
    // logger.
    private static Logger sRootPackageLogger = Logger.getLogger(ROOT_PACKAGE);

    @Override
    public String format(LogRecord record) {
        String text = formatMessage(record).replace('\n', ' ');
        String event = text.startsWith("event=") ? text : "event=library message=\"" + text + '"';
        Throwable thrown = record.getThrown();
        String cause = thrown == null ? "" : " cause=\"" + thrown + '"';
        return "time="
                + record.getInstant()
                + " level="
                + record.getLevel().getName().toLowerCase(Locale.ROOT)
                + " "
                + event
                + cause
                + System.lineSeparator();
    }
}
