package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.Epoch;

/**
 * Sends an agent the interference of best-effort images with the latency-critical tasks of its
 * worker.
 */
public record InterferenceWeights(Epoch epoch, List<ImageWeight> weights) implements Message {
    /** Copies the list. */
    public InterferenceWeights {
        weights = List.copyOf(weights);
    }

    /**
     * Interference weight of one best-effort image.
     *
     * @param weightMilli load that the image adds to a latency-critical task when it uses all
     *     processors of the worker, in thousandths
     */
    public record ImageWeight(String image, long weightMilli) {}
}
