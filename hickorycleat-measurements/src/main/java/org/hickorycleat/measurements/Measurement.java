package org.hickorycleat.measurements;

import java.util.List;
import java.util.function.Consumer;

/** Measures one property next to its baselines. */
@FunctionalInterface
public interface Measurement {
    /** Runs once per seed and hands over the figures, medians over the seeds unless they say so. */
    void run(List<Long> seeds, Consumer<Figures> output);
}
