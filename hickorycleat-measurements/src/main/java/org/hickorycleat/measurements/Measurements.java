package org.hickorycleat.measurements;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hickorycleat.measurements.placement.DispatchMeasurement;
import org.hickorycleat.measurements.requests.AdmissionMeasurement;
import org.hickorycleat.measurements.requests.RoutingMeasurement;

/** Runs a measurement by name with the given seeds, or lists the names. */
public final class Measurements {
    private static final List<Long> DEFAULT_SEEDS = List.of(1L, 2L, 3L, 4L, 5L);

    private Measurements() {}

    /**
     * Runs a measurement, or lists the names if there are no arguments.
     *
     * @param arguments name of the measurement, then seeds
     */
    public static void main(String[] arguments) {
        Map<String, Measurement> measurements = all();
        if (arguments.length == 0) {
            measurements.keySet().forEach(System.out::println);
            return;
        }
        Measurement measurement = measurements.get(arguments[0]);
        if (measurement == null) {
            System.err.println("unknown measurement: " + arguments[0]);
            System.exit(2);
            return;
        }
        measurement.run(seeds(arguments), System.out::println);
    }

    private static Map<String, Measurement> all() {
        Map<String, Measurement> all = new TreeMap<>();
        all.put("admission-decision", new AdmissionMeasurement());
        all.put("dispatch", new DispatchMeasurement());
        all.put("routing-decision", new RoutingMeasurement());
        return all;
    }

    private static List<Long> seeds(String[] arguments) {
        List<Long> seeds = new ArrayList<>();
        for (int i = 1; i < arguments.length; i++) {
            seeds.add(Long.parseLong(arguments[i]));
        }
        return seeds.isEmpty() ? DEFAULT_SEEDS : seeds;
    }
}
