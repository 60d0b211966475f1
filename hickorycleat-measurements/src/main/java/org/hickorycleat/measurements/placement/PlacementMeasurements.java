package org.hickorycleat.measurements.placement;

import java.util.List;

/** Runs a placement measurement by name: batch, interference, placement or urgent. */
public final class PlacementMeasurements {
    private static final long[] SEEDS = {11, 23, 37, 41, 59};

    private PlacementMeasurements() {}

    /** Prints the lines of the measurement named by the first argument. */
    public static void main(String[] arguments) {
        String name = arguments.length == 0 ? "" : arguments[0];
        measure(name).forEach(System.out::println);
    }

    private static List<String> measure(String name) {
        return switch (name) {
            case "batch" -> new BatchMeasurement().run(SEEDS);
            case "interference" -> new InterferenceMeasurement().run(SEEDS);
            case "placement" -> new PlacementScaleMeasurement().run(SEEDS);
            case "urgent" -> new UrgentMeasurement().run(SEEDS);
            default ->
                    throw new IllegalArgumentException(
                            "expected batch, interference, placement or urgent: " + name);
        };
    }
}
