package org.hickorycleat.daemon;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.hickorycleat.daemon.agent.AgentProcess;
import org.hickorycleat.daemon.entry.EntryProcess;
import org.hickorycleat.daemon.fleet.FleetProcessFactory;
import org.hickorycleat.daemon.logging.KeyValueLogFormatter;
import org.hickorycleat.daemon.settings.DaemonSettings;
import org.hickorycleat.daemon.settings.SettingError;
import org.hickorycleat.daemon.settings.SettingsParser;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.platform.NodeSettingsReader;

/** Entry point of {@code hickorycleatd}. */
public final class Main {
    private Main() {}

    /** Validates the settings and runs the configured role. */
    public static void main(String[] arguments) throws Exception {
        // Leases and deadlines must not depend on the wall clock.
        System.setProperty("rx3.scheduler.use-nanotime", "true");
        if (arguments.length == 1 && arguments[0].equals("platform")) {
            runOnPlatform();
            return;
        }
        OptionParser parser = new OptionParser();
        parser.accepts("settings", "settings file").withRequiredArg();
        parser.accepts("check", "check the settings and exit");
        parser.accepts("help", "show this help").forHelp();
        OptionSet options = parseOptions(parser, arguments);
        if (options.has("help") || !options.has("settings")) {
            parser.printHelpOn(System.out);
            System.exit(options.has("help") ? 0 : ResultCode.USAGE.exitCode());
        }
        DaemonSettings settings = readSettings(Path.of((String) options.valueOf("settings")));
        if (options.has("check")) {
            System.out.println("settings=ok process=" + settings.process());
            System.exit(0);
        }
        KeyValueLogFormatter.configureLogging(settings.logLevel());
        run(settings);
    }

    private static void runOnPlatform() throws Exception {
        KeyValueLogFormatter.configureLogging(Level.INFO);
        Path file = Path.of(System.getenv(NodeSettingsReader.PATH_VARIABLE));
        HangupSignal.ignore();
        // Only a signal drains a process on the platform, so this thread isn't needed any longer.
        start(FleetProcessFactory.create(NodeSettingsReader.read(Files.readAllBytes(file))));
    }

    private static OptionSet parseOptions(OptionParser parser, String[] arguments)
            throws IOException {
        try {
            return parser.parse(arguments);
        } catch (OptionException e) {
            System.err.println("result=" + ResultCode.USAGE.number() + " " + e.getMessage());
            parser.printHelpOn(System.err);
            System.exit(ResultCode.USAGE.exitCode());
            throw e;
        }
    }

    private static DaemonSettings readSettings(Path file) {
        Either<List<SettingError>, DaemonSettings> settings = SettingsParser.parse(file);
        if (settings.isLeft()) {
            settings.getLeft().forEach(System.err::println);
            System.exit(ResultCode.INVALID_SETTINGS.exitCode());
        }
        return settings.get();
    }

    private static void run(DaemonSettings settings) throws InterruptedException {
        // On a VM without disk, only the wall clock increases across restarts.
        Incarnation incarnation = new Incarnation(System.currentTimeMillis());
        Scheduler scheduler = Schedulers.computation();
        start(createProcess(settings, incarnation, scheduler)).awaitDrain();
    }

    private static ShutdownRunner start(Lifecycle process) {
        ShutdownRunner shutdown = new ShutdownRunner(process);
        Runtime.getRuntime().addShutdownHook(new Thread(shutdown::onSignal, "shutdown"));
        try {
            process.start();
        } catch (Exception e) {
            // Catches Exception because the transport throws undeclared checked exceptions.
            System.err.println("event=start_failed cause=\"" + e.getMessage() + '"');
            Runtime.getRuntime().halt(ResultCode.INTERNAL.exitCode());
        }
        return shutdown;
    }

    private static Lifecycle createProcess(
            DaemonSettings settings, Incarnation incarnation, Scheduler scheduler) {
        if (settings.entry().isPresent()) {
            return new EntryProcess(settings, settings.entry().get(), incarnation, scheduler);
        }
        return new AgentProcess(settings, settings.agent().orElseThrow(), incarnation, scheduler);
    }
}
