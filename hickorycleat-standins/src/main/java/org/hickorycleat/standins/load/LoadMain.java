package org.hickorycleat.standins.load;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Sends requests at a fixed rate and prints a summary of key=value lines. */
public final class LoadMain {
    private LoadMain() {}

    /**
     * Runs a load, prints its summary and optionally writes the outcome of each request to a file.
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        parser.accepts("name").withRequiredArg().defaultsTo("load");
        parser.accepts("entries").withRequiredArg().withValuesSeparatedBy(',').required();
        parser.accepts("path").withRequiredArg().defaultsTo("/services/booking/work/item");
        parser.accepts("rate").withRequiredArg().ofType(Double.class).required();
        parser.accepts("seconds").withRequiredArg().ofType(Double.class).required();
        parser.accepts("warm-up-seconds", "initial period whose latencies are excluded")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(0.0);
        parser.accepts("criticality").withRequiredArg().defaultsTo("normal");
        parser.accepts("team").withRequiredArg().defaultsTo("");
        parser.accepts("deadline-ms").withRequiredArg().ofType(Integer.class).defaultsTo(2000);
        parser.accepts("method").withRequiredArg().defaultsTo("GET");
        parser.accepts(
                "keyed", "send an idempotency key and retry on another entry after a failure");
        parser.accepts("body-bytes").withRequiredArg().ofType(Integer.class).defaultsTo(64);
        parser.accepts("outcomes").withRequiredArg();
        OptionSet options = parser.parse(arguments);
        LoadPlan plan =
                LoadPlan.builder()
                        .name((String) options.valueOf("name"))
                        .entries(
                                options.valuesOf("entries").stream()
                                        .map(String.class::cast)
                                        .toList())
                        .path((String) options.valueOf("path"))
                        .ratePerSecond((Double) options.valueOf("rate"))
                        .seconds((Double) options.valueOf("seconds"))
                        .warmUpSeconds((Double) options.valueOf("warm-up-seconds"))
                        .criticality((String) options.valueOf("criticality"))
                        .team((String) options.valueOf("team"))
                        .deadlineMs((Integer) options.valueOf("deadline-ms"))
                        .method((String) options.valueOf("method"))
                        .keyed(options.has("keyed"))
                        .bodyBytes((Integer) options.valueOf("body-bytes"))
                        .build();
        LoadRun run = new LoadRun(plan);
        run.execute();
        run.summary().forEach(System.out::println);
        if (options.has("outcomes")) {
            List<String> lines = run.outcomeLines();
            Files.write(Path.of((String) options.valueOf("outcomes")), lines);
        }
        System.exit(0);
    }
}
