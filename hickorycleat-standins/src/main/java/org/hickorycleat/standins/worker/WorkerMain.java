package org.hickorycleat.standins.worker;

import java.util.concurrent.TimeUnit;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/**
 * Runs the stand-in of a worker as a process; docs/interfaces-worker.md describes its interface.
 */
public final class WorkerMain {
    private final OptionParser mParser = new OptionParser();
    private final OptionSpec<Integer> mPort = number("port", 0);
    private final OptionSpec<String> mWorker = text("worker", "worker-0");
    private final OptionSpec<String> mRack = text("rack", "rack-0");
    private final OptionSpec<Integer> mProcessorsMilli = number("processors-milli", 16_000);
    private final OptionSpec<Integer> mMemoryMebibytes = number("memory-mebibytes", 60_000);
    private final OptionSpec<Integer> mAccelerators = number("accelerators", 0);
    private final OptionSpec<Integer> mRunTimePermille = number("run-time-permille", 1_000);
    private final OptionSpec<Integer> mUsageLagMs = number("usage-lag-ms", 5_000);

    private WorkerMain() {}

    /** Starts the server and runs until the process is stopped. */
    public static void main(String[] arguments) {
        WorkerMain main = new WorkerMain();
        try {
            OptionSet options = main.mParser.parse(arguments);
            WorkerServer server =
                    new WorkerServer(main.worker(options), options.valueOf(main.mPort));
            System.out.println("port=" + server.port());
        } catch (OptionException exception) {
            System.err.println("error=\"" + exception.getMessage() + "\"");
            System.exit(2);
        }
    }

    private SimulatedWorker worker(OptionSet options) {
        return new SimulatedWorker(
                new WorkerOptions(
                        new WorkerId(options.valueOf(mWorker)),
                        new RackId(options.valueOf(mRack)),
                        new Resources(
                                options.valueOf(mProcessorsMilli),
                                options.valueOf(mMemoryMebibytes),
                                options.valueOf(mAccelerators)),
                        options.valueOf(mRunTimePermille),
                        options.valueOf(mUsageLagMs)),
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                System::currentTimeMillis);
    }

    private OptionSpec<Integer> number(String name, int value) {
        return mParser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(value);
    }

    private OptionSpec<String> text(String name, String value) {
        return mParser.accepts(name).withRequiredArg().defaultsTo(value);
    }
}
