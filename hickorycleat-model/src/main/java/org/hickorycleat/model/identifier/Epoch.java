package org.hickorycleat.model.identifier;

/** Fencing token of a placement shard: the log offset of its owner's claim. */
public record Epoch(long value) implements Comparable<Epoch> {
    /** Creates the identifier; the value must be at least -1. */
    public Epoch {
        if (value < -1) {
            throw new IllegalArgumentException("epoch is below -1: " + value);
        }
    }

    @Override
    public int compareTo(Epoch other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
