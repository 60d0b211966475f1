package org.hickorycleat.measurements;

import java.util.List;
import java.util.function.Consumer;

/** Measures one property of the scheduler and of the baselines that it is compared with. */
@FunctionalInterface
public interface Measurement {
    /**
     * Runs once per seed and passes each line of figures to the output.
     *
     * <p>Each figure is the median over the seeds unless the measurement states otherwise.
     */
    void run(List<Long> seeds, Consumer<Figures> output);
}
