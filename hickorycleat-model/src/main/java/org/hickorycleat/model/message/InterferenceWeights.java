package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.Epoch;

/** Tells an agent how much images that fill disturb the serving tasks of its worker. */
public record InterferenceWeights(Epoch epoch, List<ImageWeight> weights) implements Message {
    /** Copies the list. */
    public InterferenceWeights {
        weights = List.copyOf(weights);
    }

    /**
     * Weight of one image.
     *
     * @param weightMilli thousandths of a target by which the tail grows when the image uses all
     *     processors of the worker
     */
    public record ImageWeight(String image, long weightMilli) {}
}
